#include "simulation/task_execution.h"

#include <algorithm>

#include "simulation/invariants/invariants.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

// Minimum run time, and run time of a task whose result exists already (s).
constexpr double kMinRunTimeS = 0.1;
// Run time of a task that fails, or of a replica that exits at once (s).
constexpr double kImmediateExitS = 0.5;
// Delay from the end of a hang to the exit of tasks that ended during it (s).
constexpr double kExitAfterHangS = 0.2;
// Tolerance for rounding errors in sums of CPUs and memory.
constexpr double kRoundingTolerance = 1e-9;

}  // namespace

void TaskExecution::Execute(Worker& worker,
                            const std::vector<Command>& commands) {
  for (const Command& command : commands) {
    const auto it = worker.tasks.find({command.job, command.task});
    const bool known =
        it != worker.tasks.end() && it->second.attempt == command.attempt;
    switch (command.kind) {
      case CommandKind::kStart:
        if (!known) Start(worker, command);
        break;
      case CommandKind::kStop:
        if (known) Stop(worker, it->second, command.grace_s);
        break;
      case CommandKind::kForget:
        if (known) Forget(worker, it->second);
        break;
    }
  }
}

ExitReason TaskExecution::ReasonToRefuse(const Worker& worker,
                                         const Command& command) const {
  const ClientJob* job = cluster_.clients().Find(command.job);
  if (!job || command.task >= job->spec.tasks) return ExitReason::kUnknownJob;
  double cpus = job->spec.cpus;
  double memory_gb = job->spec.memory_gb;
  for (const auto& [id, task] : worker.tasks) {
    if (!task.HoldsResources()) continue;
    const JobSpec& spec = cluster_.clients().Get(id.job).spec;
    cpus += spec.cpus;
    memory_gb += spec.memory_gb;
  }
  const MachineType& type = cluster_.machine_type(worker.type);
  if (cpus > type.cpus + kRoundingTolerance ||
      memory_gb > type.memory_gb + kRoundingTolerance)
    return ExitReason::kInsufficientResources;
  return ExitReason::kNone;
}

void TaskExecution::Start(Worker& worker, const Command& command) {
  const ClientJob* job = cluster_.clients().Find(command.job);
  if (job && job->reported_cancelled_s > 0) {
    ++cluster_.statistics().late_starts;
    CheckNoStartLongAfterCancellation(cluster_, *job);
  }
  const TaskId id{command.job, command.task};
  workers_commanded_to_start_[command.job].insert(worker.name);
  worker.changed = true;
  const auto other = worker.tasks.find(id);
  if (other != worker.tasks.end() && other->second.HoldsResources())
    return;  // refused: another attempt is in progress
  WorkerTask task;
  task.id = id;
  task.attempt = command.attempt;
  task.reason = ReasonToRefuse(worker, command);
  if (task.reason != ExitReason::kNone) task.state = TaskState::kExited;
  worker.tasks[id] = task;
  if (!task.HoldsResources()) return;
  const double fetch_s = 0.5 + 2 * cluster_.random().Uniform();
  cluster_.events().After(
      fetch_s, [this, name = worker.name, id, attempt = command.attempt] {
        OnImageFetched(name, id, attempt);
      });
}

void TaskExecution::Stop(Worker& worker, WorkerTask& task, double grace_s) {
  if (!task.HoldsResources()) return;
  const JobSpec& spec = cluster_.clients().Get(task.id.job).spec;
  const bool saves = task.state == TaskState::kRunning &&
                     spec.checkpoint_interval_s > 0 && grace_s >= spec.save_s;
  if (!saves) {
    // A task that is saving its progress may finish, unless there is no grace
    // period.
    if (task.state != TaskState::kSaving || grace_s == 0)
      Exit(worker, task, ExitReason::kStopped);
    return;
  }
  task.state = TaskState::kSaving;
  const uint64_t state_number = ++task.state_number;
  cluster_.events().After(
      spec.save_s, [this, name = worker.name, id = task.id, state_number] {
        Worker& saver = cluster_.workers().Get(name);
        const auto it = saver.tasks.find(id);
        if (it == saver.tasks.end() || it->second.state_number != state_number)
          return;
        it->second.saved = true;
        cluster_.clients().Get(id.job).saved_s[id.task] +=
            cluster_.now() - it->second.running_since_s;
        Exit(saver, it->second, ExitReason::kStopped);
      });
}

void TaskExecution::Forget(Worker& worker, const WorkerTask& task) {
  if (task.HoldsResources()) return;
  CheckResultIsStoredBeforeForgotten(cluster_, task);
  worker.tasks.erase(TaskId(task.id));
}

void TaskExecution::OnImageFetched(const std::string& machine, const TaskId& id,
                                   uint64_t attempt) {
  Worker& worker = cluster_.workers().Get(machine);
  if (!worker.up) return;
  const auto it = worker.tasks.find(id);
  if (it == worker.tasks.end() || it->second.attempt != attempt ||
      it->second.state != TaskState::kFetching)
    return;
  if (cluster_.now() < worker.hung_until_s) {
    cluster_.events().At(worker.hung_until_s, [this, machine, id, attempt] {
      OnImageFetched(machine, id, attempt);
    });
    return;
  }
  // A worker without a lease starts nothing.
  if (!cluster_.workers().HoldsLease(worker)) return;
  WorkerTask& task = it->second;
  CheckTaskMayStart(cluster_, worker, task);
  ClientJob& job = cluster_.clients().Get(id.job);
  if (job.first_start_s == 0) job.first_start_s = cluster_.now();
  job.last_start_s = cluster_.now();
  ++cluster_.statistics().tasks_started;
  task.state = TaskState::kRunning;
  task.running_since_s = cluster_.now();
  ++task.state_number;
  worker.changed = true;
  if (job.spec.IsService())
    ScheduleReplicaExit(worker, task);
  else
    ScheduleExit(worker, task);
}

void TaskExecution::ScheduleExit(const Worker& worker, WorkerTask& task) {
  const ClientJob& job = cluster_.clients().Get(task.id.job);
  const bool fails = worker.fails_all_tasks || job.fails_everywhere;
  const auto saved = job.saved_s.find(task.id.task);
  double run_s = job.run_s;
  if (cluster_.options().staggered_task_ends) run_s *= 1 + 3 * task.id.task;
  if (job.completed.Contains(task.id.task))
    run_s = kMinRunTimeS;
  else if (fails)
    run_s = kImmediateExitS;
  else if (saved != job.saved_s.end())
    run_s = std::max(kMinRunTimeS, run_s - saved->second);
  ExitAfter(run_s, worker, task, fails);
}

void TaskExecution::ScheduleReplicaExit(const Worker& worker,
                                        WorkerTask& task) {
  const ClientJob& job = cluster_.clients().Get(task.id.job);
  RandomSource& random = cluster_.random();
  double delay_s = 0;
  if (job.crash_loops) ++cluster_.statistics().crash_loop_starts;
  if (job.crash_loops || worker.fails_all_tasks)
    delay_s = kImmediateExitS;
  else if (job.replicas_exit)
    delay_s = 5 + 30 * random.Uniform();
  else
    return;
  const bool fails =
      worker.fails_all_tasks || (!job.crash_loops && random.Chance(0.5));
  ExitAfter(delay_s, worker, task, fails);
}

void TaskExecution::ExitAfter(double delay_s, const Worker& worker,
                              WorkerTask& task, bool fails) {
  const auto exit = [this, name = worker.name, id = task.id,
                     state_number = task.state_number, fails] {
    Worker& runner = cluster_.workers().Get(name);
    const auto it = runner.tasks.find(id);
    if (!runner.up || it == runner.tasks.end() ||
        it->second.state_number != state_number)
      return;
    Exit(runner, it->second, fails ? ExitReason::kError : ExitReason::kDone);
  };
  cluster_.events().After(delay_s, [this, name = worker.name, exit] {
    const Worker& runner = cluster_.workers().Get(name);
    if (cluster_.now() < runner.hung_until_s)
      cluster_.events().At(runner.hung_until_s + kExitAfterHangS, exit);
    else
      exit();
  });
}

void TaskExecution::Exit(Worker& worker, WorkerTask& task, ExitReason reason) {
  task.state = TaskState::kExited;
  task.reason = reason;
  ++task.state_number;
  worker.changed = true;
  if (reason == ExitReason::kDone) RecordCompletion(task.id);
}

void TaskExecution::RecordCompletion(const TaskId& id) {
  ClientJob* job = cluster_.clients().Find(id.job);
  if (!job || job->spec.IsService()) return;
  if (!job->completed.Contains(id.task)) job->completed.Add(id.task);
  if (job->completed.size() != job->spec.tasks ||
      !cluster_.DrawHit(cluster_.faults().cancel_at_completion))
    return;
  cluster_.events().After(0.6 * cluster_.random().Uniform(),
                          [this, id] { cluster_.clients().Cancel(id.job); });
}

}  // namespace sorrelwood::test
