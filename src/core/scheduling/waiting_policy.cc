#include "core/scheduling/waiting_policy.h"

#include <algorithm>
#include <set>

namespace sorrelwood {

WaitFeatures WaitingPolicy::ObserveCluster(double task_cpus) {
  WaitFeatures features;
  features.cpus = task_cpus;
  double owned_cpus = 0, used_cpus = 0, owned_gb = 0, used_gb = 0,
         running_age_s = 0;
  for (const auto& [name, machine] : machines_->all()) {
    if (!machine->role.baseline || !machine->type) continue;
    owned_cpus += machine->type->cpus;
    owned_gb += machine->type->memory_gb;
    used_cpus += machine->used.cpus;
    used_gb += machine->used.memory_gb;
    for (const auto& [task_id, attempt] : machine->attempts) {
      features.running += 1;
      if (attempt.running_since > 0)
        running_age_s += context_->now - attempt.running_since;
    }
  }
  if (owned_cpus > 0) features.cpu_utilisation = used_cpus / owned_cpus;
  if (owned_gb > 0) features.memory_utilisation = used_gb / owned_gb;
  if (features.running > 0) {
    features.running_mean_cpus = used_cpus / features.running;
    features.running_mean_age_s = running_age_s / features.running;
  }
  double waiting_cpus = 0, waiting_age_s = 0;
  for (const Job* job : jobs_->queue()) {
    const double task_count = job->progress.pending.size();
    features.waiting += task_count;
    waiting_cpus += task_count * job->spec().cpus;
    waiting_age_s += task_count * (context_->now - job->queued_at);
  }
  if (features.waiting > 0) {
    features.waiting_mean_cpus = waiting_cpus / features.waiting;
    features.waiting_mean_age_s = waiting_age_s / features.waiting;
  }
  return features;
}

void WaitingPolicy::RecordWaitSample(Job* job, const Machine& machine) {
  if (job->speculation.wait_sampled || !machine.role.baseline ||
      !job->speculation.arrival_features)
    return;
  job->speculation.wait_sampled = true;
  predictor_.Learn(*job->speculation.arrival_features,
                   context_->now - job->queued_at);
}

void WaitingPolicy::Tick() {
  if (next_fit_at_ < 0)
    next_fit_at_ = context_->now + policy_.predictor_fit_interval_s;
  if (context_->now >= next_fit_at_) {
    next_fit_at_ = context_->now + policy_.predictor_fit_interval_s;
    predictor_.Fit();
  }
  for (Job* job : jobs_->queue()) {
    if (!job->speculation.arrival_features) {
      job->speculation.arrival_features =
          ToVector(ObserveCluster(job->spec().cpus));
    }
    std::vector<uint32_t> overdue;
    for (const auto& [task, since] : job->speculation.waiting_for_owned_since)
      if (context_->now - since >= policy_.wait_limit_s)
        overdue.push_back(task);
    for (uint32_t task : overdue) {
      job->speculation.waiting_for_owned_since.erase(task);
      if (!job->speculation.run_on_rented.Contains(task))
        job->speculation.run_on_rented.Add(task);
      ++rented_to_end_;
    }
  }
  for (const auto& [name, machine] : machines_->all()) {
    if (machine->role.baseline) continue;
    for (auto& [task_id, attempt] : machine->attempts) {
      if (!attempt.speculative || attempt.stop || attempt.running_since == 0 ||
          attempt.ran_before_s + context_->now - attempt.running_since <
              policy_.speculation_limit_s)
        continue;
      Job* job = jobs_->Find(task_id.job);
      if (!job || job->spec().IsService()) continue;
      // Before the predictor is fitted every task is requeued for owned
      // capacity.
      const auto predicted_wait_s =
          predictor_.Predict(ToVector(ObserveCluster(job->spec().cpus)));
      attempt.stop = true;
      attempt.stop_grace_s =
          job->spec().checkpoint_interval_s > 0 ? job->spec().save_s : 0;
      attempt.requeue_for_baseline =
          !predicted_wait_s || *predicted_wait_s < policy_.wait_limit_s;
      attempt.requeue_on_rented = !attempt.requeue_for_baseline;
      ++speculative_kills_;
    }
  }
}

}  // namespace sorrelwood
