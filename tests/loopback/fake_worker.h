// A fake worker: an HTTP server for pushed commands, and a thread that sends
// heartbeats to one controller at a time, in the published protocol. Its tasks
// only wait.
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

namespace sorrelwood::test {

// What a worker needs to know of the cluster and its jobs.
struct WorkerSettings {
  std::map<std::string, std::string> controllers;  // name -> address
  double heartbeat_interval_s = 0.5, lease_s = 6;
};
// How each task of a job behaves.
struct JobProfile {
  double run_s = 1;
  double save_s = 0;   // time that saving a checkpoint takes
  bool saves = false;  // on a stop that leaves time for it
};

// What outlives machines: how jobs behave, and the saved progress of tasks.
// Thread-safe.
class TaskProgress {
 public:
  void AddJob(const std::string& job, const JobProfile& profile);
  JobProfile Profile(const std::string& job) const;
  double Saved(const std::string& task) const;
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
  // The machine ends, with everything on it.
  ~FakeWorker();
  std::string address() const;

 private:
  struct Task {
    std::string id;
    uint64_t attempt = 0;
    std::string status = "fetching", cause;
    bool saved = false;
    double until_s = 0;    // of the present state
    double running_s = 0;  // when it began to run
  };

  void Loop();
  // Takes tasks to their next state once its time has come.
  void Advance();
  void SendHeartbeat();
  void ExecuteCommands(const nlohmann::json& orders);
  void Start(const std::string& id, uint64_t attempt);
  void Stop(Task* task, double grace_s);
  void End(Task* task, const std::string& cause);
  void LoseAllTasks();
  nlohmann::json MakeHeartbeat();
  // To the leader that a response names, or to the next in order.
  void SwitchController(const std::string& named);

  const std::string name_, type_, zone_;
  const bool spot_;
  const WorkerSettings settings_;
  TaskProgress* progress_;
  ExecutionHistory* history_;
  httplib::Server server_;
  int port_ = 0;
  std::atomic<bool> ending_{false};
  std::mutex mutex_;
  std::map<std::string, Task> tasks_;
  uint64_t incarnation_ = 1, sequence_ = 0, fencing_token_ = 0;
  double lease_from_s_ = 0, next_heartbeat_s_ = 0;
  bool changed_ = true;
  std::string controller_;
  std::thread server_thread_, heartbeat_loop_;
};

}  // namespace sorrelwood::test
