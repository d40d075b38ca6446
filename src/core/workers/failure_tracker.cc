#include "core/workers/failure_tracker.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/constants.h"

namespace sorrelwood {

void FailureTracker::OnTaskFailed(Machine* machine, Job* job, uint32_t task) {
  const bool job_succeeds = job->succeeded();
  if (context_->debug)
    context_->Debug(
        "task failed",
        {{"job", job->id()}, {"task", task}, {"machine", machine->name}});
  job->failures.last_error_at = context_->now;
  const bool first_on_machine =
      job->failures.machines.insert(machine->name).second;
  if (job->failing() && context_->now >= job->failures.retry_at) BackOff(job);
  if (first_on_machine && job->broken() &&
      job->failures.machines.size() == kBrokenJobMachines) {
    context_->Info("job fails on every machine", {{"job", job->id()}});
    // Machines that were quarantined because of this job leave quarantine.
    ReassessMachines(job->failures.machines);
  }
  // The task itself is at fault when it keeps failing while others succeed.
  if (job_succeeds && ++job->failures.task_errors[task] >= kBrokenTaskFailures)
    return;
  // Such a service ends its own replicas, which tells nothing of machines.
  if (job->replicas.ends_by_itself) return;
  ++machine->health.failed_attempts[job->id()];
  quarantine_->Reassess(machine);
}

// One pause for each round of retries, however many tasks of a round fail.
void FailureTracker::BackOff(Job* job) const {
  const int doublings =
      std::min(++job->failures.rounds, kJobRetryPauseMaxDoublings);
  const double pause = kJobRetryPauseS * std::pow(2.0, doublings);
  job->failures.retry_at = context_->now + std::min(pause, kJobRetryPauseMaxS);
}

void FailureTracker::OnTaskSucceeded(Machine* machine) {
  machine->health.failed_attempts.clear();
  if (machine->health.quarantined) quarantine_->Reassess(machine);
}

void FailureTracker::OnTaskSucceeded(Job* job) {
  const std::set<std::string> failed_on =
      std::exchange(job->failures.machines, {});
  job->failures.rounds = 0;
  job->failures.retry_at = 0;
  ReassessMachines(failed_on);
}

void FailureTracker::ReassessMachines(const std::set<std::string>& names) {
  for (const std::string& name : names)
    if (Machine* machine = machines_->Find(name))
      quarantine_->Reassess(machine);
}

}  // namespace sorrelwood
