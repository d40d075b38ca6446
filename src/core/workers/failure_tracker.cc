#include "core/workers/failure_tracker.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/constants/workers.h"

namespace sorrelwood {

void FailureTracker::OnTaskFailed(Machine* machine, Job* job, uint32_t task) {
  const bool job_has_succeeded = job->succeeded();
  if (context_->debug)
    context_->Debug(
        "task failed",
        {{"job", job->id()}, {"task", task}, {"machine", machine->name}});
  job->failures.last_error_at = context_->now;
  const bool is_first_on_machine =
      job->failures.machines_failed_on.insert(machine->name).second;
  if (job->failing() && context_->now >= job->failures.retry_at) BackOff(job);
  if (is_first_on_machine && job->broken() &&
      job->failures.machines_failed_on.size() == kBrokenJobMachines) {
    context_->Info(
        "job has failed on several machines and succeeded on none; retrying "
        "with backoff",
        {{"job", job->id()}});
    // Ends the quarantine of machines that were quarantined only because of
    // this job's failures.
    ReassessMachines(job->failures.machines_failed_on);
  }
  // A task that keeps failing while other tasks of its job succeed is at fault
  // itself, so the failure does not count against the machine.
  if (job_has_succeeded &&
      ++job->failures.task_errors[task] >= kBrokenTaskFailures)
    return;
  // The replicas of this service exit by themselves on any machine, so the exit
  // does not count against this one.
  if (job->replicas.ends_by_itself) return;
  ++machine->health.failed_attempts[job->id()];
  quarantine_->Reassess(machine);
}

// The pause grows once per round of retries, no matter how many tasks of the
// round fail.
void FailureTracker::BackOff(Job* job) const {
  const int doublings =
      std::min(++job->failures.failed_rounds, kJobRetryPauseMaxDoublings);
  const double pause_s = kJobRetryPauseS * std::pow(2.0, doublings);
  job->failures.retry_at =
      context_->now + std::min(pause_s, kJobRetryPauseMaxS);
}

void FailureTracker::OnTaskSucceeded(Machine* machine) {
  machine->health.failed_attempts.clear();
  if (machine->health.quarantined) quarantine_->Reassess(machine);
}

void FailureTracker::OnTaskSucceeded(Job* job) {
  const std::set<std::string> failed_on =
      std::exchange(job->failures.machines_failed_on, {});
  job->failures.failed_rounds = 0;
  job->failures.retry_at = 0;
  ReassessMachines(failed_on);
}

void FailureTracker::ReassessMachines(
    const std::set<std::string>& machine_names) {
  for (const std::string& name : machine_names)
    if (Machine* machine = machines_->Find(name))
      quarantine_->Reassess(machine);
}

}  // namespace sorrelwood
