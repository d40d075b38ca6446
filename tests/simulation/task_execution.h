// Execution of commands on workers: tasks fetch their image, run, save their
// progress and exit.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/model/heartbeat.h"
#include "core/model/job.h"
#include "simulation/event_queue.h"
#include "simulation/workers.h"

namespace sorrelwood::test {

class SimulatedCluster;

class TaskExecution {
 public:
  explicit TaskExecution(SimulatedCluster& cluster) : cluster_(cluster) {}

  void Execute(Worker& worker, const std::vector<Command>& commands);

  // Workers that ever received a command to start a task of the job.
  const std::set<std::string>& WorkersCommandedToStart(const std::string& job) {
    return workers_commanded_to_start_[job];
  }

 private:
  void Start(Worker& worker, const Command& command);
  void Stop(Worker& worker, WorkerTask& task, double grace_s);
  void Forget(Worker& worker, const WorkerTask& task);

  // Why the worker refuses to start the task; kNone: it accepts.
  ExitReason ReasonToRefuse(const Worker& worker, const Command& command) const;
  void OnImageFetched(const std::string& machine, const TaskId& id,
                      uint64_t attempt);
  void ScheduleExit(const Worker& worker, WorkerTask& task);
  void ScheduleReplicaExit(const Worker& worker, WorkerTask& task);
  // Ends the task after `delay_s`, unless its state changes before.
  void ExitAfter(double delay_s, const Worker& worker, WorkerTask& task,
                 bool fails);
  void Exit(Worker& worker, WorkerTask& task, ExitReason reason);
  void RecordCompletion(const TaskId& id);

  SimulatedCluster& cluster_;
  std::map<std::string, std::set<std::string>> workers_commanded_to_start_;
};

}  // namespace sorrelwood::test
