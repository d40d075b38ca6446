// Stand-ins for the cloud and the workers, after PROTOCOL "Workers ->
// controller nodes", "Controller nodes -> workers" and "Controller nodes ->
// cloud".
#pragma once

#include <httplib.h>

#include <functional>
#include <set>

#include "common.h"

namespace review {

// What users have submitted, and how long the tasks of each job run.
class Jobs {
 public:
  struct Job {
    json spec;
    double run_s = 1;
  };
  void Add(const json& spec, double run_s);
  bool Find(const std::string& id, Job* job) const;
  // Results are kept: a task that is done ends at once when it is started
  // again.
  void MarkDone(const std::string& part);
  bool IsDone(const std::string& part) const;
  size_t CountDone(const std::string& id) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, Job> jobs_;
  std::set<std::string> done_;
};

// A task was on a machine from `from` to `to` (-1: still there).
struct Stay {
  std::string part, machine;
  double from = 0, to = -1;
};

class History {
 public:
  size_t Start(const std::string& part, const std::string& machine);
  void End(size_t stay);
  std::vector<Stay> stays() const;

 private:
  mutable std::mutex mutex_;
  std::vector<Stay> stays_;
};

struct MachineType {
  std::string name;
  double cores = 4, cards = 0, memory_gb = 16, price = 0.2, spot_price = 0.08;
  double ready_s = 2, pull_gb_per_s = 1, cache_gb = 50;
  std::vector<std::string> rooms;
};

// What a worker is told of its cluster. Its addresses are links of the network.
struct WorkerSettings {
  std::map<std::string, std::string> controllers;  // name -> address
  // Makes the address that the worker is reached at out of its own port.
  std::function<std::string(int)> make_endpoint;
  // Whether a direct command with this token is lost on its way, since its
  // sender is on the other side of a cut.
  std::function<bool(uint64_t)> is_lost;
  double report_s = 0.5, lease_s = 6;
};

class Worker {
 public:
  Worker(std::string name, MachineType type, std::string room, bool loaners,
         const WorkerSettings* settings, Jobs* jobs, History* history);
  ~Worker();
  const std::string& endpoint() const { return endpoint_; }
  // The node that the next report goes to, and when.
  std::pair<std::string, double> next_report();
  // The node that answered its latest report with 200.
  std::string answered_by();

 private:
  struct Task {
    std::string status = "fetching", cause;
    uint64_t attempt = 0;
    bool saved = false;
    double changes_at = 0;
    double cores = 0, cards = 0, memory_gb = 0;
    std::string bundle;
    bool has_stay = false;
    size_t stay = 0;
  };
  using TaskKey = std::pair<std::string, uint64_t>;  // part, attempt

  void RunTasks();
  void RunReports();
  void Advance();
  void Report();
  json MakeReport();
  void Execute(const json& orders);
  void Launch(const std::string& part, uint64_t attempt);
  void Halt(const TaskKey& key, double leeway_s);
  void End(Task* task, const std::string& cause);
  void DropAll();
  void TryNext(const std::string& steward);

  const std::string name_;
  const MachineType type_;
  const std::string room_;
  const bool loaners_;
  const WorkerSettings* settings_;
  Jobs* jobs_;
  History* history_;
  httplib::Server server_;
  int port_ = 0;
  std::string endpoint_;
  std::vector<std::string> ring_;
  std::string answered_by_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::map<TaskKey, Task> tasks_;
  std::set<std::string> images_;
  uint64_t shift_ = 1, tick_ = 0, baton_ = 0;
  double lease_from_ = 0;  // when the last answered report was sent
  double next_report_at_ = 0, last_report_at_ = -10;
  double baton_change_at_ = -1000;
  bool changed_ = false, may_report_change_ = true;
  std::string node_;
  std::unique_ptr<httplib::Client> client_;
  std::thread server_thread_, tasks_thread_, reports_thread_;
};

class Cloud {
 public:
  // `settings` has the workers' settings by room, or for all others under "".
  Cloud(std::vector<MachineType> types, double rps, double list_lag_s,
        const std::map<std::string, WorkerSettings>* settings, Jobs* jobs,
        History* history);
  int port() const { return port_; }
  // How many machines of a type may exist, by type/room/kind; the rest of the
  // kinds have none.
  void SetCapacity(const std::string& type, const std::string& room,
                   bool loaners, int count);
  size_t CountUp() const;
  // Calls `look` for each machine that is up.
  void ForEachUp(
      const std::function<void(const std::string& name, const std::string& room,
                               Worker*)>& look);

 private:
  struct Host {
    std::string type, room;
    bool loaners = false;
    double rented_at = 0, up_at = 0, gone_at = -1;
    std::unique_ptr<Worker> worker;
    std::string endpoint;
  };
  void Route();
  void Boot();
  bool Admit(httplib::Response& response);

  const std::vector<MachineType> types_;
  const double list_lag_s_;
  const std::map<std::string, WorkerSettings>* settings_;
  Jobs* jobs_;
  History* history_;
  httplib::Server server_;
  int port_ = 0;
  mutable std::mutex mutex_;
  RateLimit requests_;
  std::map<std::string, int> capacity_;
  std::map<std::string, std::vector<std::string>> hires_;
  std::map<std::string, Host> hosts_;
  int next_host_ = 1;
};

}  // namespace review
