#include "core/workers/command_selector.h"

namespace sorrelwood {

std::vector<Command> CommandSelector::Select(Machine* machine,
                                             const Heartbeat& heartbeat) {
  CommandBatch batch;
  AddStopCommands(*machine, heartbeat, &batch);
  AddForgetCommands(heartbeat, &batch);
  // A leader that may have been replaced must not start tasks.
  if (election_->MayDispatch() &&
      placement_->eligibility().AcceptsTasks(*machine))
    AddStartCommands(machine, heartbeat, &batch);
  else
    attempts_->RemovePlanned(machine);
  return batch.Take();
}

void CommandSelector::AddStopCommands(const Machine& machine,
                                      const Heartbeat& heartbeat,
                                      CommandBatch* batch) {
  for (const TaskStatus& task : heartbeat.tasks) {
    if (task.state == TaskState::kExited) continue;
    const std::optional<Command> stop = SelectForRunning(machine, task);
    if (stop && !batch->Add(*stop)) return;
  }
}

void CommandSelector::AddForgetCommands(const Heartbeat& heartbeat,
                                        CommandBatch* batch) {
  for (const TaskStatus& task : heartbeat.tasks) {
    if (task.state != TaskState::kExited) continue;
    const std::optional<Command> forget = SelectForExited(task);
    if (forget && !batch->Add(*forget)) return;
  }
}

std::optional<Command> CommandSelector::SelectForRunning(
    const Machine& machine, const TaskStatus& task) {
  const auto attempt_entry = machine.attempts.find({task.job, task.task});
  const bool is_tracked = attempt_entry != machine.attempts.end() &&
                          attempt_entry->second.number == task.attempt;
  if (is_tracked && !attempt_entry->second.stop) return std::nullopt;
  // The stop command is not repeated while the attempt saves a checkpoint: a
  // second one without a grace period would kill it.
  if (is_tracked && task.state == TaskState::kSaving &&
      attempt_entry->second.job_active)
    return std::nullopt;
  const double grace_s = is_tracked ? attempt_entry->second.stop_grace_s : 0;
  return Command{CommandKind::kStop, task.job, task.task, task.attempt,
                 grace_s};
}

// The worker keeps a completion until it is committed or its job has ended, so
// that the result is not lost if this leader crashes. A replica never
// completes, so the worker may always forget its exit.
std::optional<Command> CommandSelector::SelectForExited(
    const TaskStatus& task) {
  const Job* job = jobs_->Find(task.job);
  const bool must_keep = task.reason == ExitReason::kDone && job &&
                         !job->spec().IsService() &&
                         !job->progress.committed.Contains(task.task);
  if (must_keep) return std::nullopt;
  return Command{CommandKind::kForget, task.job, task.task, task.attempt, 0};
}

void CommandSelector::AddStartCommands(Machine* machine,
                                       const Heartbeat& heartbeat,
                                       CommandBatch* batch) {
  for (auto& [id, attempt] : machine->attempts) {
    if (attempt.phase != AttemptPhase::kPlanned) continue;
    if (!batch->Add({CommandKind::kStart, id.job, id.task, attempt.number, 0}))
      return;  // the others stay planned until the next response
    attempt.phase = AttemptPhase::kDispatched;
    attempt.dispatched_in_response_to = heartbeat.id();
    attempt.dispatched_at = context_->now;
    if (context_->debug)
      context_->Debug(
          "starting task",
          {{"job", id.job}, {"task", id.task}, {"machine", machine->name}});
  }
}

std::vector<Command> CommandSelector::SelectStopsForEndedJobs(
    const Heartbeat& heartbeat) const {
  CommandBatch batch;
  for (const TaskStatus& task : heartbeat.tasks) {
    if (task.state == TaskState::kExited || job_cache_->FindLiveJob(task.job))
      continue;
    if (!batch.Add({CommandKind::kStop, task.job, task.task, task.attempt, 0}))
      break;
  }
  return batch.Take();
}

}  // namespace sorrelwood
