#include "core/workers/task_outcomes.h"

#include "base/constants/services.h"
#include "base/constants/workers.h"

namespace sorrelwood {

TaskOutcomes::EndedAttempt TaskOutcomes::SummarizeAttempt(
    const TaskAttempt* attempt) const {
  EndedAttempt ended;
  if (!attempt) return ended;
  ended.was_tracked = true;
  ended.requeue_for_baseline = attempt->requeue_for_baseline;
  ended.requeue_on_rented = attempt->requeue_on_rented;
  ended.stop_requested = attempt->stop;
  if (attempt->running_since > 0)
    ended.ran_s = context_->now - attempt->running_since;
  return ended;
}

void TaskOutcomes::OnExit(Machine* machine, const TaskStatus& task,
                          TaskAttempt* attempt) {
  Job* job = jobs_->Find(task.job);
  const bool is_service = job && job->spec().IsService();
  const EndedAttempt ended = SummarizeAttempt(attempt);
  // Must precede the removal of the attempt: otherwise a task that completes
  // while the rebalancer moves it would be started on the target machine.
  if (task.reason == ExitReason::kDone && job && !is_service)
    rebalancer_->OnTaskDone(task.job, task.task);
  if (ended.was_tracked)
    attempts_->Remove(machine, machine->attempts.find({task.job, task.task}));
  if (ended.was_tracked && is_service && !ended.stop_requested &&
      task.reason != ExitReason::kStopped)
    replicas_->OnReplicaEnded(job, task.task, ended.ran_s);
  switch (task.reason) {
    case ExitReason::kDone: OnExitDone(machine, job, task, ended.ran_s); return;
    case ExitReason::kError: {
      // The failure of a replica that had been stable does not count against
      // its machine.
      const bool was_stable = is_service && ended.ran_s >= kReplicaStableS;
      if (ended.was_tracked && job && !was_stable)
        failures_->OnTaskFailed(machine, job, task.task);
      return;
    }
    case ExitReason::kInsufficientResources:
    case ExitReason::kOtherAttemptPresent:
      if (ended.was_tracked)
        machine->health.refused_until = context_->now + kRefusedStartPauseS;
      return;
    case ExitReason::kUnknownJob:
      if (ended.was_tracked && job)
        job->failures.retry_at = context_->now + kJobRetryPauseS;
      return;
    case ExitReason::kStopped:
    case ExitReason::kNone:
      if (job) MarkRequeued(job, task.task, ended);
      return;
  }
}

void TaskOutcomes::OnExitDone(Machine* machine, Job* job,
                              const TaskStatus& task, double ran_s) {
  if (!job || task.task >= job->spec().tasks) return;
  // A replica never completes: it runs until its job is cancelled.
  if (job->spec().IsService()) return;
  // A task with checkpoints may have resumed from one, so its run time is not a
  // valid sample.
  if (ran_s > 0 && job->spec().checkpoint_interval_s == 0) {
    jobs_->LearnRunTime(job->spec(), ran_s);
    rebalancer_->LearnRunTime(job->id(), machine->name, ran_s);
  }
  failures_->OnTaskSucceeded(machine);
  machine->unrecorded_completions[{task.job, task.task}] = task.attempt;
  MarkCompleted(job, task.task);
}

void TaskOutcomes::MarkCompleted(Job* job, uint32_t task) {
  if (job->progress.done.Contains(task)) return;
  jobs_->MarkDone(job, task);
  failures_->OnTaskSucceeded(job);
  if (job->progress.done.size() == job->spec().tasks)
    job_finisher_->Enqueue(job->id());
  else
    completions_->MarkDirty(job->id());
  StopOtherAttempt(*job, task);
}

void TaskOutcomes::StopOtherAttempt(const Job& job, uint32_t task) {
  const auto placement = job.progress.machine_of_task.find(task);
  if (placement == job.progress.machine_of_task.end()) return;
  Machine* machine = machines_->Find(placement->second);
  if (!machine) return;
  const auto attempt_entry = machine->attempts.find({job.id(), task});
  if (attempt_entry != machine->attempts.end())
    attempt_entry->second.stop = true;
}

void TaskOutcomes::MarkRequeued(Job* job, uint32_t task,
                                const EndedAttempt& ended) const {
  if (!job->progress.pending.Contains(task)) return;
  if (ended.requeue_for_baseline)
    job->speculation.waiting_for_owned_since[task] = context_->now;
  if (ended.requeue_on_rented && !job->speculation.run_on_rented.Contains(task))
    job->speculation.run_on_rented.Add(task);
}

}  // namespace sorrelwood
