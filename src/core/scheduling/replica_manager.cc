#include "core/scheduling/replica_manager.h"

#include <algorithm>
#include <cmath>

#include "base/constants/leader_election.h"
#include "base/constants/services.h"
#include "base/constants/workers.h"

namespace sorrelwood {

bool ReplicaManager::MarkIfStable(Job* job, uint32_t task,
                                  TaskAttempt* attempt) {
  if (attempt->stable || attempt->running_since == 0 ||
      context_->now - attempt->running_since < kReplicaStableS)
    return false;
  attempt->stable = true;
  job->replicas.restarts.erase(task);
  job->replicas.succeeded = true;
  return true;
}

void ReplicaManager::OnReplicaEnded(Job* job, uint32_t task, double ran_s) {
  ++restarted_;
  if (ran_s >= kReplicaStableS) {
    job->replicas.restarts.erase(task);
    job->replicas.ends_by_itself = true;
    return;
  }
  ReplicaRestarts& restarts = job->replicas.restarts[task];
  ++restarts.early_ends;
  if (restarts.early_ends == 1) return;
  const int repeats =
      std::min(restarts.early_ends - 1, kJobRetryPauseMaxDoublings);
  const double pause_s = std::min(kJobRetryPauseS * std::pow(2.0, repeats - 1),
                                  kJobRetryPauseMaxS);
  restarts.not_before = context_->now + pause_s;
}

bool ReplicaManager::HasPlaceElsewhere(const Job& job,
                                       const Machine& machine) const {
  return std::any_of(machines_->all().begin(), machines_->all().end(),
                     [&](const auto& entry) {
                       const Machine& other = *entry.second;
                       return &other != &machine &&
                              placement_->eligibility().AcceptsTasks(other) &&
                              other.Fits(job.spec()) &&
                              placement_->eligibility().IsEligibleAfterLeaving(
                                  job, other, machine);
                     });
}

void ReplicaManager::StopReplicasOnDepartingMachines() {
  for (auto& [name, machine] : machines_->all()) {
    if (machine->lifecycle.preemption_deadline == 0) continue;
    const double left_s =
        machine->lifecycle.preemption_deadline - context_->now;
    for (auto& [task_id, attempt] : machine->attempts) {
      if (attempt.stop || !attempt.job_active ||
          !attempt.record->spec.IsService())
        continue;
      const Job* job = jobs_->Find(task_id.job);
      if (!job) continue;
      if (left_s > kReplicaForcedStopS && !HasPlaceElsewhere(*job, *machine))
        continue;
      attempt.stop = true;
      attempt.stop_grace_s =
          std::min(job->spec().save_s, std::max(0.0, left_s));
    }
  }
}

void ReplicaManager::AccumulateMissingTime() {
  // A long gap is not counted: the process was paused or did not lead.
  const double passed_s = context_->now - last_accumulated_at_;
  last_accumulated_at_ = context_->now;
  if (passed_s <= 0 || passed_s > kProcessPauseThresholdS) return;
  const Statistics statistics = CollectStatistics();
  missing_replica_s_ +=
      passed_s * static_cast<double>(statistics.wanted - statistics.running);
}

ReplicaManager::Statistics ReplicaManager::CollectStatistics() const {
  Statistics statistics;
  for (const Job* job : jobs_->services()) {
    statistics.wanted += job->spec().tasks;
    statistics.running += machines_->CountRunningReplicas(*job);
  }
  statistics.restarted = restarted_;
  statistics.missing_replica_s = missing_replica_s_;
  return statistics;
}

}  // namespace sorrelwood
