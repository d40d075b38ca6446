// The machines of the cloud and their workers: machine states, connectivity,
// and the loop that sends heartbeats.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "core/model/heartbeat.h"
#include "core/model/job.h"

namespace sorrelwood::test {

class SimulatedCluster;

// An attempt to run a task on a worker.
struct WorkerTask {
  TaskId id;
  uint64_t attempt = 0;
  TaskState state = TaskState::kFetching;
  ExitReason reason = ExitReason::kNone;
  bool saved = false;
  double running_since_s = 0;
  // Incremented at state changes; an event with an earlier number is stale.
  uint64_t state_number = 0;

  bool IsExecuting() const {
    return state == TaskState::kRunning || state == TaskState::kSaving;
  }
  bool HoldsResources() const { return state != TaskState::kExited; }
};

struct Worker {
  std::string name, type, zone;
  bool spot = false;
  bool up = false;
  bool crashed = false;
  bool released = false;  // by a controller, or preempted by the cloud
  double provisioned_at_s = 0;
  double listed_from_s = 0;  // appears in the cloud's inventory from then on
  double released_at_s = 0;
  double preempted_at_s = 0;  // 0: no notice

  // Injected faults, described at FaultKind.
  bool fails_all_tasks = false;
  double partitioned_until_s = 0;
  double hung_until_s = 0;
  double inbound_lost_until_s = 0;
  double outbound_lost_until_s = 0;

  // State of the worker protocol.
  uint64_t incarnation = 1;
  uint64_t sequence = 0;  // of heartbeats of this incarnation
  uint64_t fencing_token = 0;
  double lease_from_s = 0;
  std::map<TaskId, WorkerTask> tasks;

  // State of the heartbeat loop.
  int controller = 0;  // that gets the next heartbeat
  bool awaits_response = false;
  uint64_t request = 0;  // of the last heartbeat
  double next_heartbeat_s = 0;
  double last_heartbeat_s = -1;
  bool changed = false;  // since the last heartbeat

  std::string Address() const { return name + ":1"; }
  // Returns a heartbeat with all tasks and the next sequence number.
  Heartbeat MakeHeartbeat(double now_s);
  void AdoptFencingToken(uint64_t token);
  void BeginIncarnation(double now_s);
  void LoseAllTasks() { tasks.clear(); }
};

class SimulatedWorkers {
 public:
  using WorkersByName = std::map<std::string, std::unique_ptr<Worker>>;

  explicit SimulatedWorkers(SimulatedCluster& cluster) : cluster_(cluster) {}

  void Add(Worker worker);
  void Boot(const std::string& name);
  // Stops the machine, which stays listed as failed.
  void Crash(Worker& worker);
  // Restarts the worker process with a new incarnation.
  void Restart(Worker& worker);

  Worker& Get(const std::string& name) { return *workers_.at(name); }
  // Null: no such machine.
  Worker* Find(const std::string& name);
  WorkersByName& all() { return workers_; }

  // Whether packets pass between the controller and the worker.
  bool IsConnected(int controller, const Worker& worker) const;
  // Whether the worker processes messages that reach its machine.
  bool ReceivesMessages(const Worker& worker) const;
  bool HoldsLease(const Worker& worker) const;

  size_t remaining() const;  // not released
  // The sum over all machines of the time from provisioning to release, or
  // until now (s).
  double TotalMachineTime() const;

 private:
  // Runs the worker's loop every kLoopIntervalS.
  void Loop(const std::string& name);

  SimulatedCluster& cluster_;
  WorkersByName workers_;
};

}  // namespace sorrelwood::test
