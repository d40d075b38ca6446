// The machines of the cloud with the worker on each: when they are up, what
// they can reach, and the loop that decides when a heartbeat is due.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "core/model/heartbeat.h"
#include "core/model/job.h"

namespace sorrelwood::test {

class SimulatedCluster;

// An attempt at a task on a worker.
struct WorkerTask {
  TaskId id;
  uint64_t attempt = 0;
  TaskState state = TaskState::kFetching;
  ExitReason reason = ExitReason::kNone;
  bool saved = false;
  double running_since_s = 0;
  // Events that were scheduled for an earlier state carry an earlier number.
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
  bool released = false;  // by a controller, or taken back by the cloud
  double provisioned_at_s = 0;
  double listed_from_s = 0;  // in the cloud's inventory
  double released_at_s = 0;
  double preempted_at_s = 0;  // 0: no notice

  // Injected faults; FaultKind describes them.
  bool fails_all_tasks = false;
  double partitioned_until_s = 0;
  double hung_until_s = 0;
  double inbound_lost_until_s = 0;
  double outbound_lost_until_s = 0;

  // The protocol's state.
  uint64_t incarnation = 1;
  uint64_t sequence = 0;  // of heartbeats of this incarnation
  uint64_t fencing_token = 0;
  double lease_from_s = 0;
  std::map<TaskId, WorkerTask> tasks;

  // The heartbeat loop.
  int controller = 0;  // to which it sends its next heartbeat
  bool awaits_response = false;
  uint64_t request = 0;  // of the last heartbeat
  double next_heartbeat_s = 0;
  double last_heartbeat_s = -1;
  bool changed = false;  // since the last heartbeat

  std::string Address() const { return name + ":1"; }
  // A report of everything on the machine, with the next sequence number.
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
  // The machine ends and stays listed as failed.
  void Crash(Worker& worker);
  // The worker process ends and starts anew.
  void Restart(Worker& worker);

  Worker& Get(const std::string& name) { return *workers_.at(name); }
  // Null: no such machine.
  Worker* Find(const std::string& name);
  WorkersByName& all() { return workers_; }

  // Whether packets pass between the controller and the worker.
  bool IsConnected(int controller, const Worker& worker) const;
  // Whether the worker takes in what reaches its machine.
  bool ReceivesMessages(const Worker& worker) const;
  bool HoldsLease(const Worker& worker) const;

  size_t remaining() const;  // not released
  // From provisioning to release, so far (s).
  double TotalMachineTime() const;

 private:
  // The worker's loop, every tenth of a second.
  void Loop(const std::string& name);

  SimulatedCluster& cluster_;
  WorkersByName workers_;
};

}  // namespace sorrelwood::test
