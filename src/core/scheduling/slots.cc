#include "core/scheduling/slots.h"

#include <algorithm>
#include <cmath>

#include "base/constants.h"
#include "core/scheduling/eligibility.h"

namespace sorrelwood {
namespace {

// Slots in so many cores and so much memory; may be a fraction or negative.
double SlotsIn(double cpus, double memory_gb, const JobSpec& spec) {
  const double slots = cpus / std::max(spec.cpus, kMinTaskCpus);
  return spec.memory_gb > 0 ? std::min(slots, memory_gb / spec.memory_gb)
                            : slots;
}

// Slots on the machine if tasks took so much more there; negative amounts are
// given back.
double SlotsWithUsage(const Machine& machine, const ClassProfile& profile,
                      double more_cpus, double more_memory_gb) {
  if (!machine.type || machine.role.excess ||
      !AllowsLocation(profile.spec, *machine.type, machine.zone, machine.spot))
    return 0;
  const double slots =
      SlotsIn(machine.cpus_free() - more_cpus,
              machine.memory_free() - more_memory_gb, profile.spec);
  return std::max(0.0, std::floor(slots + kResourceRounding));
}

}  // namespace

double FreeSlots(const Machine& machine, const ClassProfile& profile) {
  return SlotsWithUsage(machine, profile, 0, 0);
}

double FreeSlotsBeside(const Machine& machine, const ClassProfile& profile,
                       const JobSpec& task) {
  return SlotsWithUsage(machine, profile, task.cpus, task.memory_gb);
}

double SlotsWhenEmpty(const Machine& machine, const ClassProfile& profile) {
  return SlotsWithUsage(machine, profile, -machine.cpus_used,
                        -machine.memory_used);
}

double PreemptibleSlots(const Machine& machine, const ClassProfile& profile) {
  double cpus = 0, memory_gb = 0;
  for (const auto& [key, attempt] : machine.attempts) {
    const JobSpec& spec = attempt.record->spec;
    if (spec.IsService() || spec.priority >= profile.spec.priority) continue;
    cpus += attempt.cpus;
    memory_gb += attempt.memory_gb;
  }
  return SlotsWithUsage(machine, profile, -cpus, -memory_gb);
}

double SlotsOnType(const MachineType& type, const ClassProfile& profile) {
  return std::floor(SlotsIn(type.cpus, type.memory_gb, profile.spec) +
                    kResourceRounding);
}

double SlotsPerZone(const ClassProfile& profile, double slots) {
  return profile.spec.spread ? std::ceil(slots / 2) : slots;
}

}  // namespace sorrelwood
