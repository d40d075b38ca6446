#include "core/scheduling/admission.h"

#include <algorithm>
#include <cmath>

#include "base/constants/immediate_start_reserves.h"
#include "base/constants/placement.h"

namespace sorrelwood {

bool Admission::MayStartTask(const Job& job) const {
  if (job.progress.pending.empty() || job.finishing ||
      context_->now < job.failures.retry_at)
    return false;
  if (job.failing() && job.progress.AnyPlaced()) return false;
  // A task that an earlier leader placed may run on a machine that has not
  // reported yet; starting it now could run it twice.
  return !(job.from_earlier_term && unreconciled_machines_ > 0);
}

std::optional<uint32_t> Admission::NextRunnableTask(
    const Job& job, CapacityClass capacity) const {
  if (job.failing() && job.progress.AnyPlaced()) return std::nullopt;
  const IntervalSet& pending = job.progress.pending;
  const auto& waiting_for_owned_since = job.speculation.waiting_for_owned_since;
  if (capacity == CapacityClass::kOwned) {
    for (const auto& [task, since] : waiting_for_owned_since)
      if (pending.Contains(task)) return task;
    return std::nullopt;
  }
  for (const auto& [first, last] : pending.ranges())
    for (uint32_t task = first; task < last; ++task)
      if (!waiting_for_owned_since.count(task) &&
          !job.replicas.InRestartBackoff(task, context_->now))
        return task;
  return std::nullopt;
}

const Team* Admission::FindTeam(const std::string& name) const {
  const auto team = std::find_if(
      settings_->teams.begin(), settings_->teams.end(),
      [&](const Team& candidate) { return candidate.name == name; });
  return team == settings_->teams.end() ? nullptr : &*team;
}

bool Admission::WithinQuota(const Job& job) const {
  const JobSpec& spec = job.spec();
  const Team* team = FindTeam(spec.team);
  if (!team) return false;
  TeamUsage usage = jobs_->UsageOf(team->name);
  if (!spec.IsService()) {
    const auto reserved = reserved_service_cpus_.find(team->name);
    if (reserved != reserved_service_cpus_.end())
      usage.cpus += std::max(0.0, reserved->second);
  }
  return usage.cpus + unreconciled_cpus_ + spec.cpus <=
             team->cpus_max + kResourceRounding &&
         usage.gpus + unreconciled_gpus_ + spec.gpus <=
             team->gpus_max + kResourceRounding;
}

bool Admission::WithinGuarantee(const Job& job) const {
  const JobSpec& spec = job.spec();
  const Team* team = FindTeam(spec.team);
  if (!team) return false;
  const TeamUsage usage = jobs_->UsageOf(team->name);
  return usage.cpus + spec.cpus <= team->cpus &&
         usage.gpus + spec.gpus <= team->gpus;
}

bool Admission::InGuaranteePass(const Job& job) const {
  // Replicas always: a service is measured by the time without its replicas.
  if (job.spec().IsService()) return true;
  // The first task of a starving job; otherwise a steady stream of guaranteed
  // work could keep the job from ever starting.
  if (job.queue_position.starving && !job.progress.AnyPlaced()) return true;
  return WithinGuarantee(job);
}

double Admission::SlotsUnderQuota(const JobSpec& spec) const {
  const Team* team = FindTeam(spec.team);
  if (!team) return 0;
  const double cpus_left = team->cpus_max - jobs_->UsageOf(team->name).cpus;
  return std::max(0.0,
                  std::floor(cpus_left / std::max(spec.cpus, kMinTaskCpus)));
}

void Admission::ReserveQuotaForServices() {
  reserved_service_cpus_.clear();
  for (const Job* job : jobs_->services()) {
    if (!MayStartTask(*job)) continue;
    reserved_service_cpus_[job->spec().team] +=
        job->CountRunnableTasks(context_->now) * job->spec().cpus;
  }
}

void Admission::OnTaskPlaced(const JobSpec& spec) {
  if (spec.IsService()) reserved_service_cpus_[spec.team] -= spec.cpus;
}

}  // namespace sorrelwood
