#include "core/scheduling/slots.h"

#include <algorithm>
#include <cmath>

#include "base/constants/immediate_start_reserves.h"
#include "base/constants/placement.h"
#include "core/scheduling/eligibility.h"

namespace sorrelwood {
namespace {

// Returns the slots in the given capacity; may be a fraction or negative.
double SlotsIn(const TaskResources& free, const JobSpec& spec) {
  const TaskResources task = ResourcesPerTask(spec);
  const double slots = std::min(free.cpus / std::max(task.cpus, kMinTaskCpus),
                                free.report_bytes / task.report_bytes);
  return task.memory_gb > 0 ? std::min(slots, free.memory_gb / task.memory_gb)
                            : slots;
}

// Returns the slots on the machine if `free` were its free capacity.
double SlotsWith(const TaskResources& free, const Machine& machine,
                 const ClassProfile& profile) {
  if (!machine.type || machine.role.excess ||
      !AllowsLocation(profile.spec, *machine.type, machine.zone, machine.spot))
    return 0;
  const double slots = SlotsIn(free, profile.spec);
  return std::max(0.0, std::floor(slots + kResourceRounding));
}

}  // namespace

double FreeSlots(const Machine& machine, const ClassProfile& profile) {
  return SlotsWith(machine.Free(), machine, profile);
}

double FreeSlotsAfterPlacing(const Machine& machine,
                             const ClassProfile& profile, const JobSpec& task) {
  return SlotsWith(machine.Free() - ResourcesPerTask(task), machine, profile);
}

double SlotsWhenEmpty(const Machine& machine, const ClassProfile& profile) {
  return SlotsWith(machine.Free() + machine.used, machine, profile);
}

double PreemptibleSlots(const Machine& machine, const ClassProfile& profile) {
  TaskResources free = machine.Free();
  for (const auto& [task_id, attempt] : machine.attempts) {
    const JobSpec& spec = attempt.record->spec;
    if (spec.IsService() || spec.priority >= profile.spec.priority) continue;
    free += attempt.resources;
  }
  return SlotsWith(free, machine, profile);
}

double SlotsOnType(const MachineType& type, const ClassProfile& profile) {
  return std::floor(SlotsIn(ResourcesOf(type), profile.spec) +
                    kResourceRounding);
}

double SlotsPerZone(const ClassProfile& profile, double slots) {
  return profile.spec.spread ? std::ceil(slots / 2) : slots;
}

}  // namespace sorrelwood
