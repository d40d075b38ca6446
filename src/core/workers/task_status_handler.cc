#include "core/workers/task_status_handler.h"

namespace sorrelwood {
namespace {

// The tracked attempt with the reported attempt number; null if the machine has
// none, even if it has another attempt of the same task.
TaskAttempt* FindReportedAttempt(Machine* machine, const TaskStatus& task) {
  const auto attempt_entry = machine->attempts.find({task.job, task.task});
  const bool is_tracked = attempt_entry != machine->attempts.end() &&
                          attempt_entry->second.number == task.attempt;
  return is_tracked ? &attempt_entry->second : nullptr;
}

}  // namespace

void TaskStatusHandler::Apply(Machine* machine, const TaskStatus& task) {
  TaskAttempt* attempt = FindReportedAttempt(machine, task);
  if (task.state == TaskState::kExited)
    outcomes_->OnExit(machine, task, attempt);
  else if (attempt)
    Confirm(machine, task, attempt);
  else
    attempts_->Adopt(machine, task);
}

void TaskStatusHandler::Confirm(Machine* machine, const TaskStatus& task,
                                TaskAttempt* attempt) {
  attempt->phase = AttemptPhase::kConfirmed;
  if (task.state == TaskState::kRunning && attempt->running_since == 0)
    OnRunning(machine, task, attempt);
  attempt->state = task.state;
  if (!attempt->record->spec.IsService()) return;
  Job* job = jobs_->Find(task.job);
  if (!job || !replicas_->MarkIfStable(job, task.task, attempt)) return;
  failures_->OnTaskSucceeded(machine);
  failures_->OnTaskSucceeded(job);
}

void TaskStatusHandler::OnRunning(Machine* machine, const TaskStatus& task,
                                  TaskAttempt* attempt) {
  attempt->running_since = context_->now;
  machine->FinishFetch(attempt->record->spec.image);
  if (context_->debug)
    context_->Debug(
        "task running",
        {{"job", task.job}, {"task", task.task}, {"machine", machine->name}});
  if (Job* job = jobs_->Find(task.job))
    waiting_->RecordWaitSample(job, *machine);
}

}  // namespace sorrelwood
