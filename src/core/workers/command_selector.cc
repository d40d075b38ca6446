#include "core/workers/command_selector.h"

namespace sorrelwood {

std::vector<Command> CommandSelector::Select(Machine* machine,
                                             const Heartbeat& heartbeat) {
  std::vector<Command> commands;
  for (const TaskStatus& task : heartbeat.tasks)
    if (const std::optional<Command> command = ForReported(*machine, task))
      commands.push_back(*command);
  // Guards against starts by a leader that may have been replaced.
  if (election_->MayDispatch() &&
      placement_->eligibility().AcceptsTasks(*machine))
    AddStarts(machine, heartbeat, &commands);
  else
    attempts_->RemovePlanned(machine);
  return commands;
}

std::optional<Command> CommandSelector::ForReported(const Machine& machine,
                                                    const TaskStatus& task) {
  if (task.state == TaskState::kExited) return ForExited(task);
  const auto it = machine.attempts.find({task.job, task.task});
  const bool tracked =
      it != machine.attempts.end() && it->second.number == task.attempt;
  if (tracked && !it->second.stop) return std::nullopt;
  // The stop is not repeated while the attempt saves a checkpoint: a second one
  // without grace would end it.
  if (tracked && task.state == TaskState::kSaving && it->second.job_active)
    return std::nullopt;
  const double grace_s = tracked ? it->second.stop_grace_s : 0;
  return Command{CommandKind::kStop, task.job, task.task, task.attempt,
                 grace_s};
}

// A completion is forgotten by the worker only once it is committed or its job
// has ended. Guards against results that are lost when this leader crashes. A
// replica is never complete, so there is nothing to keep.
std::optional<Command> CommandSelector::ForExited(const TaskStatus& task) {
  const Job* job = jobs_->Find(task.job);
  const bool keep = task.reason == ExitReason::kDone && job &&
                    !job->spec().IsService() &&
                    !job->progress.committed.Contains(task.task);
  if (keep) return std::nullopt;
  return Command{CommandKind::kForget, task.job, task.task, task.attempt, 0};
}

void CommandSelector::AddStarts(Machine* machine, const Heartbeat& heartbeat,
                                std::vector<Command>* commands) {
  for (auto& [id, attempt] : machine->attempts) {
    if (attempt.phase != AttemptPhase::kPlanned) continue;
    attempt.phase = AttemptPhase::kDispatched;
    attempt.dispatched_in_response_to = heartbeat.id();
    attempt.dispatched_at = context_->now;
    if (context_->debug)
      context_->Debug(
          "starting task",
          {{"job", id.job}, {"task", id.task}, {"machine", machine->name}});
    commands->push_back(
        {CommandKind::kStart, id.job, id.task, attempt.number, 0});
  }
}

std::vector<Command> CommandSelector::StopsForEndedJobs(
    const Heartbeat& heartbeat) const {
  std::vector<Command> stops;
  for (const TaskStatus& task : heartbeat.tasks)
    if (task.state != TaskState::kExited && !job_cache_->FindLiveJob(task.job))
      stops.push_back(
          {CommandKind::kStop, task.job, task.task, task.attempt, 0});
  return stops;
}

}  // namespace sorrelwood
