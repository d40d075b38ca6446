#include "core/scheduling/slots.h"

#include <algorithm>
#include <cmath>

#include "base/constants.h"
#include "core/scheduling/eligibility.h"

namespace sorrelwood {
namespace {

// Returns the slots in the given capacity; may be a fraction or negative.
double SlotsIn(double cpus, double memory_gb, const JobSpec& spec) {
  const double slots = cpus / std::max(spec.cpus, kMinTaskCpus);
  return spec.memory_gb > 0 ? std::min(slots, memory_gb / spec.memory_gb)
                            : slots;
}

// Returns the slots on the machine if its tasks used `extra_cpus` and
// `extra_memory_gb` more than now; negative values release capacity.
double SlotsWithExtraUsage(const Machine& machine, const ClassProfile& profile,
                           double extra_cpus, double extra_memory_gb) {
  if (!machine.type || machine.role.excess ||
      !AllowsLocation(profile.spec, *machine.type, machine.zone, machine.spot))
    return 0;
  const double slots =
      SlotsIn(machine.cpus_free() - extra_cpus,
              machine.memory_free() - extra_memory_gb, profile.spec);
  return std::max(0.0, std::floor(slots + kResourceRounding));
}

}  // namespace

double FreeSlots(const Machine& machine, const ClassProfile& profile) {
  return SlotsWithExtraUsage(machine, profile, 0, 0);
}

double FreeSlotsAfterPlacing(const Machine& machine,
                             const ClassProfile& profile, const JobSpec& task) {
  return SlotsWithExtraUsage(machine, profile, task.cpus, task.memory_gb);
}

double SlotsWhenEmpty(const Machine& machine, const ClassProfile& profile) {
  return SlotsWithExtraUsage(machine, profile, -machine.cpus_used,
                             -machine.memory_used);
}

double PreemptibleSlots(const Machine& machine, const ClassProfile& profile) {
  double cpus = 0, memory_gb = 0;
  for (const auto& [task_id, attempt] : machine.attempts) {
    const JobSpec& spec = attempt.record->spec;
    if (spec.IsService() || spec.priority >= profile.spec.priority) continue;
    cpus += attempt.cpus;
    memory_gb += attempt.memory_gb;
  }
  return SlotsWithExtraUsage(machine, profile, -cpus, -memory_gb);
}

double SlotsOnType(const MachineType& type, const ClassProfile& profile) {
  return std::floor(SlotsIn(type.cpus, type.memory_gb, profile.spec) +
                    kResourceRounding);
}

double SlotsPerZone(const ClassProfile& profile, double slots) {
  return profile.spec.spread ? std::ceil(slots / 2) : slots;
}

}  // namespace sorrelwood
