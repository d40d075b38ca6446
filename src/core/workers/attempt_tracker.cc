#include "core/workers/attempt_tracker.h"

#include <iterator>
#include <utility>

namespace sorrelwood {

void AttemptTracker::Adopt(Machine* machine, const TaskStatus& task) {
  Job* job = jobs_->Find(task.job);
  const TaskId id{task.job, task.task};
  if (!job || task.task >= job->spec().tasks) {
    // Its job has ended, so what it takes of a team's limit is unknown.
    unreconciled_->AddUnknownTask(*machine);
    return;
  }
  // Another attempt of the task is tracked on this machine: that one counts.
  if (machine->attempts.count(id) > 0) return;
  if (!WithdrawPlannedElsewhere(*job, id)) return;
  TaskAttempt attempt = MakeAdopted(*job, *machine, task);
  jobs_->Place(job, task.task, machine->name, machine->zone);
  machine->AddAttempt(id, std::move(attempt));
  machine->TouchImage(job->spec().image);
}

bool AttemptTracker::WithdrawPlannedElsewhere(const Job& job,
                                              const TaskId& id) {
  const auto placed = job.progress.machine_of_task.find(id.task);
  if (placed == job.progress.machine_of_task.end()) return true;
  Machine* other = machines_->Find(placed->second);
  if (!other) return false;
  const auto it = other->attempts.find(id);
  if (it == other->attempts.end() || it->second.phase != AttemptPhase::kPlanned)
    return false;
  Remove(other, it);
  return true;
}

TaskAttempt AttemptTracker::MakeAdopted(const Job& job, const Machine& machine,
                                        const TaskStatus& task) const {
  TaskAttempt attempt;
  attempt.number = task.attempt;
  attempt.cpus = job.spec().cpus;
  attempt.gpus = job.spec().gpus;
  attempt.memory_gb = job.spec().memory_gb;
  attempt.record = job.record;
  attempt.phase = AttemptPhase::kConfirmed;
  attempt.state = task.state;
  attempt.running_since = task.state == TaskState::kRunning ? context_->now : 0;
  attempt.speculative = !machine.role.baseline;
  attempt.stop = job.progress.done.Contains(task.task);
  return attempt;
}

void AttemptTracker::Remove(Machine* machine,
                            std::map<TaskId, TaskAttempt>::iterator it) {
  const TaskId id = it->first;
  const TaskAttempt attempt = machine->RemoveAttempt(it);
  Job* job = jobs_->Find(id.job);
  if (!job || !attempt.job_active) {
    jobs_->AddOrphanedUsage(attempt.record->spec.team, -attempt.cpus,
                            -attempt.gpus);
    return;
  }
  jobs_->Unplace(job, id.task, machine->zone);
  rebalancer_->OnTaskReleased(job, id.task, election_->term());
}

void AttemptTracker::RemovePlanned(Machine* machine) {
  for (auto it = machine->attempts.begin(); it != machine->attempts.end();) {
    const auto next = std::next(it);
    if (it->second.phase == AttemptPhase::kPlanned) Remove(machine, it);
    it = next;
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
