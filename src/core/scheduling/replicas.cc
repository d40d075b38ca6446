#include "core/scheduling/replicas.h"

#include <algorithm>
#include <cmath>

#include "base/constants.h"

namespace sorrelwood {

bool ReplicaKeeper::BecameStable(Job* job, uint32_t task, Placed* placed) {
  if (placed->stable || placed->running_since == 0 ||
      context_->now - placed->running_since < kReplicaStableS)
    return false;
  placed->stable = true;
  job->restarts.erase(task);
  job->replica_succeeded = true;
  return true;
}

void ReplicaKeeper::Ended(Job* job, uint32_t task, double ran_s) {
  ++restarted_;
  if (ran_s >= kReplicaStableS) {
    job->restarts.erase(task);
    job->ends_by_itself = true;
    return;
  }
  ReplicaRestarts& restarts = job->restarts[task];
  ++restarts.quick_ends;
  if (restarts.quick_ends == 1) return;
  const int doublings = std::min(restarts.quick_ends - 1, 10);
  const double pause =
      std::min(kErrorPauseS * std::pow(2.0, doublings - 1), kErrorPauseMaxS);
  restarts.not_before = context_->now + pause;
}

bool ReplicaKeeper::HasPlaceElsewhere(const Job& job,
                                      const Machine& machine) const {
  return std::any_of(machines_->all().begin(), machines_->all().end(),
                     [&](const auto& item) {
                       const Machine& other = *item.second;
                       return &other != &machine && placement_->Usable(other) &&
                              other.Fits(job.spec()) &&
                              placement_->AllowedInsteadOf(job, other, machine);
                     });
}

void ReplicaKeeper::LeaveDepartingMachines() {
  for (auto& [name, machine] : machines_->all()) {
    if (machine->notice_until == 0) continue;
    const double left = machine->notice_until - context_->now;
    for (auto& [key, placed] : machine->tasks) {
      if (placed.stop || !placed.job_live || !placed.record->spec.IsService())
        continue;
      const Job* job = jobs_->Find(key.first);
      if (!job) continue;
      if (left > kReplicaLastMoveS && !HasPlaceElsewhere(*job, *machine))
        continue;
      placed.stop = true;
      placed.stop_grace_s = std::min(job->spec().save_s, std::max(0.0, left));
    }
  }
}

void ReplicaKeeper::CountTime() {
  // A gap is no leader's time.
  const double passed = context_->now - counted_at_;
  counted_at_ = context_->now;
  if (passed <= 0 || passed > kStallS) return;
  const Figures figures = Measure();
  without_s_ += passed * static_cast<double>(figures.wanted - figures.running);
}

ReplicaKeeper::Figures ReplicaKeeper::Measure() const {
  Figures figures;
  for (const Job* job : jobs_->services()) {
    figures.wanted += job->spec().tasks;
    figures.running += machines_->RunningReplicas(*job);
  }
  figures.restarted = restarted_;
  figures.without_s = without_s_;
  return figures;
}

}  // namespace sorrelwood
