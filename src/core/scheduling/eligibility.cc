#include "core/scheduling/eligibility.h"

#include <algorithm>

#include "base/constants/workers.h"

namespace sorrelwood {

bool AllowsLocation(const JobSpec& spec, const MachineType& type,
                    const std::string& zone, bool spot) {
  if (spot && !spec.spot) return false;
  if (!spec.zone.empty() && spec.zone != zone) return false;
  return spec.types.empty() || std::find(spec.types.begin(), spec.types.end(),
                                         type.name) != spec.types.end();
}

bool ZoneSpreadAllows(const Job& job, const std::string& zone,
                      uint32_t planned) {
  if (!job.spec().spread) return true;
  const auto& attempts_in_zone = job.progress.attempts_in_zone;
  const auto zone_entry = attempts_in_zone.find(zone);
  const uint32_t placed =
      zone_entry == attempts_in_zone.end() ? 0 : zone_entry->second;
  return placed + planned < (job.spec().tasks + 1) / 2;
}

bool Eligibility::AcceptsTasks(const Machine& machine) const {
  return machine.lifecycle.recorded && machine.lifecycle.token_acknowledged &&
         !machine.health.quarantined && !machine.lifecycle.terminating &&
         machine.lifecycle.preemption_deadline == 0 &&
         context_->now >= machine.health.refused_until && IsReachable(machine);
}

bool Eligibility::IsReachable(const Machine& machine) const {
  const double timeout_s =
      kSilentHeartbeatIntervals * settings_->heartbeat_interval_s;
  return !machine.contact.unreachable &&
         context_->now - machine.contact.last_heartbeat_at < timeout_s &&
         context_->now - machine.contact.last_delivery_proof_at < timeout_s;
}

// A retry on another machine shows whether the job or the machine is at fault.
bool Eligibility::FailedThereRecently(const Job& job,
                                      const Machine& machine) const {
  const FailureHistory& failures = job.failures;
  return !failures.machines_failed_on.empty() &&
         context_->now < failures.last_error_at + kSuspectMachineAvoidS &&
         failures.machines_failed_on.count(machine.name) > 0;
}

std::optional<Ineligibility> Eligibility::Check(const Job& job,
                                                const Machine& machine) const {
  const JobSpec& spec = job.spec();
  const auto& attempts_in_zone = job.progress.attempts_in_zone;
  if (FailedThereRecently(job, machine)) return Ineligibility::kRecentFailure;
  if (!machine.type) return Ineligibility::kUnknownMachineType;
  if (!AllowsLocation(spec, *machine.type, machine.zone, machine.spot))
    return Ineligibility::kLocationNotAllowed;
  if (spec.one_zone && !attempts_in_zone.empty() &&
      (attempts_in_zone.size() > 1 ||
       attempts_in_zone.begin()->first != machine.zone))
    return Ineligibility::kOutsideZoneOfJob;
  if (!ZoneSpreadAllows(job, machine.zone, 0))
    return Ineligibility::kZoneSpreadLimit;
  return std::nullopt;
}

bool Eligibility::IsEligibleAfterLeaving(const Job& job, const Machine& machine,
                                         const Machine& from) const {
  if (IsEligible(job, machine)) return true;
  // In the same zone the moving task may itself be the only obstacle: it counts
  // towards the zone limits until it has left.
  return machine.type && machine.zone == from.zone &&
         AllowsLocation(job.spec(), *machine.type, machine.zone, machine.spot);
}

}  // namespace sorrelwood
