#include "core/workers/attempt_tracker.h"

#include <iterator>
#include <utility>

namespace sorrelwood {

void AttemptTracker::Adopt(Machine* machine, const TaskStatus& task) {
  Job* job = jobs_->Find(task.job);
  const TaskId id{task.job, task.task};
  if (!job || task.task >= job->spec().tasks) {
    // The job has ended, so the team and resources of the task are unknown.
    unreconciled_->AddUnknownTask(*machine);
    return;
  }
  // Another attempt of the task is tracked on this machine and takes
  // precedence.
  if (machine->attempts.count(id) > 0) return;
  if (!EnsureNotStartedElsewhere(*job, id)) return;
  TaskAttempt attempt = MakeAdoptedAttempt(*job, *machine, task);
  jobs_->MarkPlaced(job, task.task, machine->name, machine->zone);
  machine->AddAttempt(id, std::move(attempt));
  machine->TouchImage(job->spec().image);
}

bool AttemptTracker::EnsureNotStartedElsewhere(const Job& job,
                                               const TaskId& id) {
  const auto placement = job.progress.machine_of_task.find(id.task);
  if (placement == job.progress.machine_of_task.end()) return true;
  Machine* other = machines_->Find(placement->second);
  if (!other) return false;
  const auto other_entry = other->attempts.find(id);
  if (other_entry == other->attempts.end() ||
      other_entry->second.phase != AttemptPhase::kPlanned)
    return false;
  Remove(other, other_entry);
  return true;
}

TaskAttempt AttemptTracker::MakeAdoptedAttempt(const Job& job,
                                               const Machine& machine,
                                               const TaskStatus& task) const {
  TaskAttempt attempt;
  attempt.number = task.attempt;
  attempt.resources = ResourcesPerTask(job.spec());
  attempt.record = job.record;
  attempt.phase = AttemptPhase::kConfirmed;
  attempt.state = task.state;
  attempt.running_since = task.state == TaskState::kRunning ? context_->now : 0;
  attempt.speculative = !machine.role.baseline;
  attempt.stop = job.progress.done.Contains(task.task);
  return attempt;
}

void AttemptTracker::Remove(
    Machine* machine, std::map<TaskId, TaskAttempt>::iterator attempt_entry) {
  const TaskId id = attempt_entry->first;
  const TaskAttempt attempt = machine->RemoveAttempt(attempt_entry);
  Job* job = jobs_->Find(id.job);
  // The attempts of an ended job count as orphaned usage of its team.
  if (!job || !attempt.job_active) {
    jobs_->AddOrphanedUsage(attempt.record->spec.team, -attempt.resources.cpus,
                            -attempt.resources.gpus);
    return;
  }
  jobs_->MarkUnplaced(job, id.task, machine->zone);
  rebalancer_->OnTaskReleased(job, id.task, election_->term());
}

void AttemptTracker::RemovePlanned(Machine* machine) {
  for (auto entry = machine->attempts.begin();
       entry != machine->attempts.end();) {
    const auto next_entry = std::next(entry);
    if (entry->second.phase == AttemptPhase::kPlanned) Remove(machine, entry);
    entry = next_entry;
  }
}

void AttemptTracker::RemoveAll(Machine* machine) {
  while (!machine->attempts.empty()) Remove(machine, machine->attempts.begin());
  unreconciled_->ForgetUnknownTasks(*machine);
  unreconciled_->Update(*machine);
}

void AttemptTracker::ForgetMachineContents(Machine* machine) {
  machine->lifecycle.from_earlier_term = false;
  machine->unrecorded_completions.clear();
  RemoveAll(machine);
}

}  // namespace sorrelwood
