#include "core/scheduling/waiting_policy.h"

#include <algorithm>
#include <set>

namespace sorrelwood {

WaitFeatures WaitingPolicy::Observe(double cpus) {
  WaitFeatures f;
  f.cpus = cpus;
  double owned_cpus = 0, used_cpus = 0, owned_gb = 0, used_gb = 0, age = 0;
  for (const auto& [name, machine] : machines_->all()) {
    if (!machine->role.baseline || !machine->type) continue;
    owned_cpus += machine->type->cpus;
    owned_gb += machine->type->memory_gb;
    used_cpus += machine->cpus_used;
    used_gb += machine->memory_used;
    for (const auto& [key, attempt] : machine->attempts) {
      f.running += 1;
      if (attempt.running_since > 0)
        age += context_->now - attempt.running_since;
    }
  }
  if (owned_cpus > 0) f.cpu_utilisation = used_cpus / owned_cpus;
  if (owned_gb > 0) f.memory_utilisation = used_gb / owned_gb;
  if (f.running > 0) {
    f.running_mean_cpus = used_cpus / f.running;
    f.running_mean_age_s = age / f.running;
  }
  double waiting_cpus = 0, waiting_age = 0;
  for (const Job* job : jobs_->queue()) {
    const double count = job->progress.pending.size();
    f.waiting += count;
    waiting_cpus += count * job->spec().cpus;
    waiting_age += count * (context_->now - job->queued_at);
  }
  if (f.waiting > 0) {
    f.waiting_mean_cpus = waiting_cpus / f.waiting;
    f.waiting_mean_age_s = waiting_age / f.waiting;
  }
  return f;
}

void WaitingPolicy::LearnStart(Job* job, const Machine& machine) {
  if (job->speculation.wait_sampled || !machine.role.baseline ||
      !job->speculation.arrival_features)
    return;
  job->speculation.wait_sampled = true;
  predictor_.Learn(*job->speculation.arrival_features,
                   context_->now - job->queued_at);
}

void WaitingPolicy::Tick() {
  if (next_fit_ < 0)
    next_fit_ = context_->now + policy_.predictor_fit_interval_s;
  if (context_->now >= next_fit_) {
    next_fit_ = context_->now + policy_.predictor_fit_interval_s;
    predictor_.Fit();
  }
  for (Job* job : jobs_->queue()) {
    if (!job->speculation.arrival_features) {
      job->speculation.arrival_features = ToVector(Observe(job->spec().cpus));
    }
    std::vector<uint32_t> overdue;
    for (const auto& [task, since] : job->speculation.waiting_since)
      if (context_->now - since >= policy_.wait_limit_s)
        overdue.push_back(task);
    for (uint32_t task : overdue) {
      job->speculation.waiting_since.erase(task);
      if (!job->speculation.run_on_rented.Contains(task))
        job->speculation.run_on_rented.Add(task);
      ++rented_;
    }
  }
  for (const auto& [name, machine] : machines_->all()) {
    if (machine->role.baseline) continue;
    for (auto& [key, attempt] : machine->attempts) {
      if (!attempt.speculative || attempt.stop || attempt.running_since == 0 ||
          attempt.ran_before_s + context_->now - attempt.running_since <
              policy_.speculation_limit_s)
        continue;
      Job* job = jobs_->Find(key.job);
      if (!job || job->spec().IsService()) continue;
      // Until the first fit all jobs wait.
      const auto wait = predictor_.Predict(ToVector(Observe(job->spec().cpus)));
      attempt.stop = true;
      attempt.stop_grace_s =
          job->spec().checkpoint_interval_s > 0 ? job->spec().save_s : 0;
      attempt.requeue_for_baseline = !wait || *wait < policy_.wait_limit_s;
      attempt.requeue_on_rented = !attempt.requeue_for_baseline;
      ++killed_;
    }
  }
}

}  // namespace sorrelwood
