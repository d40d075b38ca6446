// A stand-in worker: an HTTP server for direct commands, and a thread that
// reports to one controller at a time, as the published protocol has it.
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

#include "loopback/history.h"

namespace sorrelwood::test {

// What a worker needs to know of the cluster and its jobs.
struct WorkerSettings {
  std::map<std::string, std::string> controllers;  // name -> address
  double heartbeat_interval_s = 0.5, lease_s = 6;
};
struct JobTimes {
  double run_s = 1, save_s = 0;
  bool saves = false;
};

// Progress and results that outlive machines, by task. Thread-safe.
class TaskBook {
 public:
  void AddJob(const std::string& job, const JobTimes& times);
  JobTimes Times(const std::string& job) const;
  double Saved(const std::string& task) const;
  void Save(const std::string& task, double ran_s);

 private:
  mutable std::mutex mutex_;
  std::map<std::string, JobTimes> jobs_;
  std::map<std::string, double> saved_s_;
};

class StandInWorker {
 public:
  StandInWorker(std::string name, std::string type, std::string zone, bool spot,
                const WorkerSettings& settings, TaskBook* book,
                History* history);
  // The machine is gone, with all that is on it.
  ~StandInWorker();
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
  void Advance();
  void SendHeartbeat();
  void Execute(const nlohmann::json& orders);
  void Start(const std::string& id, uint64_t attempt);
  void Stop(Task* task, double grace_s);
  void End(Task* task, const std::string& cause);
  void LoseAll();
  nlohmann::json MakeHeartbeat();
  void NextController(const std::string& named);

  const std::string name_, type_, zone_;
  const bool spot_;
  const WorkerSettings settings_;
  TaskBook* book_;
  History* history_;
  httplib::Server server_;
  int port_ = 0;
  std::atomic<bool> ending_{false};
  std::mutex mutex_;
  std::map<std::string, Task> tasks_;
  uint64_t session_ = 1, sequence_ = 0, token_ = 0;
  double lease_from_s_ = 0, next_report_s_ = 0;
  bool changed_ = true;
  std::string controller_;
  std::thread serving_, reporting_;
};

}  // namespace sorrelwood::test
