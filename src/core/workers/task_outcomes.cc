#include "core/workers/task_outcomes.h"

#include "base/constants.h"

namespace sorrelwood {

TaskOutcomes::EndedAttempt TaskOutcomes::Describe(
    const TaskAttempt* attempt) const {
  EndedAttempt ended;
  if (!attempt) return ended;
  ended.tracked = true;
  ended.requeue_for_baseline = attempt->requeue_for_baseline;
  ended.requeue_on_rented = attempt->requeue_on_rented;
  ended.told_to_stop = attempt->stop;
  if (attempt->running_since > 0)
    ended.ran_s = context_->now - attempt->running_since;
  return ended;
}

void TaskOutcomes::OnExit(Machine* machine, const TaskStatus& task,
                          TaskAttempt* attempt) {
  Job* job = jobs_->Find(task.job);
  const bool is_service = job && job->spec().IsService();
  const EndedAttempt ended = Describe(attempt);
  // Before the attempt is removed, so that a task that was about to move and
  // has completed instead is not started elsewhere.
  if (task.reason == ExitReason::kDone && job && !is_service)
    rebalancer_->OnTaskDone(task.job, task.task);
  if (ended.tracked)
    attempts_->Remove(machine, machine->attempts.find({task.job, task.task}));
  if (ended.tracked && is_service && !ended.told_to_stop &&
      task.reason != ExitReason::kStopped)
    replicas_->Ended(job, task.task, ended.ran_s);
  switch (task.reason) {
    case ExitReason::kDone: OnDone(machine, job, task, ended.ran_s); return;
    case ExitReason::kError: {
      // A replica that ran well before it failed says nothing of its machine.
      const bool ran_well = is_service && ended.ran_s >= kReplicaStableS;
      if (ended.tracked && job && !ran_well)
        failures_->OnTaskFailed(machine, job, task.task);
      return;
    }
    case ExitReason::kInsufficientResources:
    case ExitReason::kOtherAttemptPresent:
      if (ended.tracked)
        machine->health.refused_until = context_->now + kRefusedStartPauseS;
      return;
    case ExitReason::kUnknownJob:
      if (ended.tracked && job)
        job->failures.retry_at = context_->now + kJobRetryPauseS;
      return;
    case ExitReason::kStopped:
    case ExitReason::kNone:
      if (job) MarkRequeued(job, task.task, ended);
      return;
  }
}

void TaskOutcomes::OnDone(Machine* machine, Job* job, const TaskStatus& task,
                          double ran_s) {
  if (!job || task.task >= job->spec().tasks) return;
  // A replica is never complete: it runs until its job is cancelled.
  if (job->spec().IsService()) return;
  // A task with checkpoints may have run only what was left of it, so its run
  // time is no sample.
  if (ran_s > 0 && job->spec().checkpoint_interval_s == 0) {
    jobs_->LearnRunTime(job->spec(), ran_s);
    rebalancer_->LearnRunTime(job->id(), machine->name, ran_s);
  }
  failures_->OnTaskSucceeded(machine);
  machine->unrecorded_completions[{task.job, task.task}] = task.attempt;
  OnCompleted(job, task.task);
}

void TaskOutcomes::OnCompleted(Job* job, uint32_t task) {
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
  const auto placed = job.progress.machine_of_task.find(task);
  if (placed == job.progress.machine_of_task.end()) return;
  Machine* machine = machines_->Find(placed->second);
  if (!machine) return;
  const auto it = machine->attempts.find({job.id(), task});
  if (it != machine->attempts.end()) it->second.stop = true;
}

void TaskOutcomes::MarkRequeued(Job* job, uint32_t task,
                                const EndedAttempt& ended) const {
  if (!job->progress.pending.Contains(task)) return;
  if (ended.requeue_for_baseline)
    job->speculation.waiting_since[task] = context_->now;
  if (ended.requeue_on_rented && !job->speculation.run_on_rented.Contains(task))
    job->speculation.run_on_rented.Add(task);
}

}  // namespace sorrelwood
