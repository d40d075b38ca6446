#include "core/scheduling/admission.h"

#include <algorithm>
#include <cmath>

#include "base/constants.h"

namespace sorrelwood {

bool Admission::MayStartTask(const Job& job) const {
  if (job.progress.pending.empty() || job.finishing ||
      context_->now < job.failures.retry_at)
    return false;
  if (job.failing() && job.progress.AnyPlaced()) return false;
  // A task of a job that an earlier leader knew may be on a machine that has
  // not reported yet: prevents running it twice.
  return !(job.from_earlier_term && unreconciled_machines_ > 0);
}

std::optional<uint32_t> Admission::NextRunnableTask(
    const Job& job, CapacityClass capacity) const {
  if (job.failing() && job.progress.AnyPlaced()) return std::nullopt;
  const IntervalSet& pending = job.progress.pending;
  const auto& waiting_since = job.speculation.waiting_since;
  if (capacity == CapacityClass::kOwned) {
    for (const auto& [task, since] : waiting_since)
      if (pending.Contains(task)) return task;
    return std::nullopt;
  }
  for (const auto& [first, last] : pending.ranges())
    for (uint32_t task = first; task < last; ++task)
      if (!waiting_since.count(task) &&
          !job.replicas.InRestartBackoff(task, context_->now))
        return task;
  return std::nullopt;
}

const Team* Admission::FindTeam(const std::string& name) const {
  const auto team =
      std::find_if(settings_->teams.begin(), settings_->teams.end(),
                   [&](const Team& t) { return t.name == name; });
  return team == settings_->teams.end() ? nullptr : &*team;
}

bool Admission::WithinQuota(const Job& job) const {
  const JobSpec& spec = job.spec();
  const Team* team = FindTeam(spec.team);
  if (!team) return false;
  TeamUsage usage = jobs_->UsageOf(team->name);
  if (!spec.IsService()) {
    const auto aside = cpus_for_services_.find(team->name);
    if (aside != cpus_for_services_.end())
      usage.cpus += std::max(0.0, aside->second);
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
  // Replicas, since the time without them is what counts.
  if (job.spec().IsService()) return true;
  // The first task of a starving job, so that no stream of guaranteed work
  // keeps it from beginning.
  if (job.queue_position.starving && !job.progress.AnyPlaced()) return true;
  return WithinGuarantee(job);
}

double Admission::SlotsUnderQuota(const JobSpec& spec) const {
  const Team* team = FindTeam(spec.team);
  if (!team) return 0;
  const double left = team->cpus_max - jobs_->UsageOf(team->name).cpus;
  return std::max(0.0, std::floor(left / std::max(spec.cpus, kMinTaskCpus)));
}

void Admission::SetQuotaAsideForServices() {
  cpus_for_services_.clear();
  for (const Job* job : jobs_->services()) {
    if (!MayStartTask(*job)) continue;
    cpus_for_services_[job->spec().team] +=
        job->RunnableTasks(context_->now) * job->spec().cpus;
  }
}

void Admission::OnPlaced(const JobSpec& spec) {
  if (spec.IsService()) cpus_for_services_[spec.team] -= spec.cpus;
}

}  // namespace sorrelwood
