#include "core/scheduling/replica_manager.h"

#include <algorithm>
#include <cmath>

#include "base/constants.h"

namespace sorrelwood {

bool ReplicaManager::BecameStable(Job* job, uint32_t task,
                                  TaskAttempt* attempt) {
  if (attempt->stable || attempt->running_since == 0 ||
      context_->now - attempt->running_since < kReplicaStableS)
    return false;
  attempt->stable = true;
  job->replicas.restarts.erase(task);
  job->replicas.succeeded = true;
  return true;
}

void ReplicaManager::Ended(Job* job, uint32_t task, double ran_s) {
  ++restarted_;
  if (ran_s >= kReplicaStableS) {
    job->replicas.restarts.erase(task);
    job->replicas.ends_by_itself = true;
    return;
  }
  ReplicaRestarts& restarts = job->replicas.restarts[task];
  ++restarts.quick_ends;
  if (restarts.quick_ends == 1) return;
  const int doublings = std::min(restarts.quick_ends - 1, 10);
  const double pause = std::min(kJobRetryPauseS * std::pow(2.0, doublings - 1),
                                kJobRetryPauseMaxS);
  restarts.not_before = context_->now + pause;
}

bool ReplicaManager::HasPlaceElsewhere(const Job& job,
                                       const Machine& machine) const {
  return std::any_of(machines_->all().begin(), machines_->all().end(),
                     [&](const auto& item) {
                       const Machine& other = *item.second;
                       return &other != &machine &&
                              placement_->eligibility().AcceptsTasks(other) &&
                              other.Fits(job.spec()) &&
                              placement_->eligibility().IsEligibleAfterLeaving(
                                  job, other, machine);
                     });
}

void ReplicaManager::LeaveDepartingMachines() {
  for (auto& [name, machine] : machines_->all()) {
    if (machine->lifecycle.preemption_deadline == 0) continue;
    const double left = machine->lifecycle.preemption_deadline - context_->now;
    for (auto& [key, attempt] : machine->attempts) {
      if (attempt.stop || !attempt.job_active ||
          !attempt.record->spec.IsService())
        continue;
      const Job* job = jobs_->Find(key.job);
      if (!job) continue;
      if (left > kReplicaForcedStopS && !HasPlaceElsewhere(*job, *machine))
        continue;
      attempt.stop = true;
      attempt.stop_grace_s = std::min(job->spec().save_s, std::max(0.0, left));
    }
  }
}

void ReplicaManager::CountTime() {
  // A gap is no leader's time.
  const double passed = context_->now - counted_at_;
  counted_at_ = context_->now;
  if (passed <= 0 || passed > kProcessPauseThresholdS) return;
  const Statistics statistics = CollectStatistics();
  without_s_ +=
      passed * static_cast<double>(statistics.wanted - statistics.running);
}

ReplicaManager::Statistics ReplicaManager::CollectStatistics() const {
  Statistics statistics;
  for (const Job* job : jobs_->services()) {
    statistics.wanted += job->spec().tasks;
    statistics.running += machines_->CountRunningReplicas(*job);
  }
  statistics.restarted = restarted_;
  statistics.without_s = without_s_;
  return statistics;
}

}  // namespace sorrelwood
