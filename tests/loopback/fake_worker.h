// A fake worker: an HTTP server for pushed commands, and a thread that sends
// heartbeats to one controller at a time, in the published protocol. Its tasks
// only wait until their run time has passed.
#pragma once

#include <httplib.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "loopback/execution_history.h"
#include "loopback/zone_cut.h"

namespace sorrelwood::test {

// Settings that a worker has of the cluster.
struct WorkerSettings {
  std::map<std::string, std::string> controllers;  // name -> address
  double heartbeat_interval_s = 0.5, lease_s = 6;
  ZoneCut* zone_cut = nullptr;  // null: none
};
// How each task of a job behaves.
struct JobProfile {
  double run_s = 1;
  double save_s = 0;   // time to save a checkpoint
  bool saves = false;  // saves on a stop whose grace period allows it
};

// State that outlives machines: job profiles and the saved progress of tasks.
// Thread-safe.
class TaskProgress {
 public:
  void AddJob(const std::string& job, const JobProfile& profile);
  JobProfile Profile(const std::string& job) const;
  double SavedRunTime(const std::string& task) const;
  void Save(const std::string& task, double ran_s);

 private:
  mutable std::mutex mutex_;
  std::map<std::string, JobProfile> jobs_;
  std::map<std::string, double> saved_s_;
};

class FakeWorker {
 public:
  FakeWorker(std::string name, std::string type, std::string zone, bool spot,
             const WorkerSettings& settings, TaskProgress* progress,
             ExecutionHistory* history);
  // Ends the machine and all tasks on it.
  ~FakeWorker();
  std::string address() const;

 private:
  struct Task {
    std::string id;
    uint64_t attempt = 0;
    std::string status = "fetching", cause;
    bool saved = false;
    double state_ends_s = 0;  // when the current state ends
    double run_start_s = 0;
  };

  void RunHeartbeatLoop();
  // Moves tasks whose current state has ended to their next state.
  void AdvanceTasks();
  void SendHeartbeat();
  // Whether the network lets a heartbeat pass to the current controller.
  bool HeartbeatPasses();
  // Records a message over the limit, which is treated as lost.
  bool IsWithin(size_t max_bytes, const std::string& kind,
                const std::string& message) const;
  // Whether the network lets pushed commands with the token pass.
  bool PushPasses(uint64_t token) const;
  void HandlePush(const httplib::Request& request, httplib::Response& response);
  void ExecuteCommands(const nlohmann::json& orders);
  void StartTask(const std::string& id, uint64_t attempt);
  void StopTask(Task* task, double grace_s);
  void EndTask(Task* task, const std::string& cause);
  void DropAllTasks();
  nlohmann::json MakeHeartbeat();
  // Switches to the leader named in a response or, without a known one, to the
  // next controller by name.
  void SwitchController(const std::string& named_leader);

  const std::string name_, type_, zone_;
  const bool spot_;
  const WorkerSettings settings_;
  TaskProgress* progress_;
  ExecutionHistory* history_;
  httplib::Server server_;
  int port_ = 0;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::map<std::string, Task> tasks_;
  uint64_t incarnation_ = 1, sequence_ = 0, fencing_token_ = 0;
  double lease_renewed_s_ = 0, next_heartbeat_s_ = 0;
  bool changed_ = true;  // a change has not been reported yet
  std::string controller_;
  std::thread server_thread_, heartbeat_loop_;
};

}  // namespace sorrelwood::test
