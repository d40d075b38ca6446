// The cloud and the workers on its machines, as PROTOCOL describes them, and
// what the jobs of the users do there.
#pragma once

#include "util.h"

namespace review {

// What a job does, known from its submission and from the test.
struct JobPlan {
  json submission;
  double run_s = 1;       // run time of a task
  bool mistaken = false;  // fails on every machine
};

// The jobs that users have uploaded, results and saved progress: what lies
// outside of the machines. Thread-safe.
class Jobs {
 public:
  void Add(const std::string& uid, const JobPlan& plan);
  std::optional<JobPlan> Find(const std::string& uid) const;
  bool HasResult(const std::string& part) const;
  void SetResult(const std::string& part);
  size_t CountResults(const std::string& uid) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, JobPlan> jobs_;
  std::set<std::string> results_;
};

// What was on the machines. A task is on its machine from when it has its image
// until it exits, is killed or the machine is gone.
struct Stay {
  std::string part, machine;
  uint64_t attempt = 0;
  double from = 0, to = -1;  // to < 0: still there
};
struct Launch {
  std::string part, machine;
  uint64_t attempt = 0, baton = 0;
  double at = 0;           // when the worker carried it out
  double report_sent = 0;  // when the report was sent whose answer carried it
  std::string controller;
};

class History {
 public:
  size_t Begin(const std::string& part, const std::string& machine,
               uint64_t attempt);
  void End(size_t stay);
  void Add(const Launch& launch);
  std::vector<Stay> stays() const;
  std::vector<Launch> launches() const;
  // Since when at least one task of the job has been on a machine without a
  // break; a negative number if there is none now.
  double OnMachinesSince(const std::string& uid) const;
  bool EverStarted(const std::string& uid) const;
  // Parts that were on two machines at once, as text; empty if there are none.
  std::string FindRanTwice() const;

 private:
  mutable std::mutex mutex_;
  std::vector<Stay> stays_;
  std::vector<Launch> launches_;
};

struct WorkerSettings {
  std::vector<std::pair<std::string, std::string>>
      controllers;  // name, address
  double report_s = 2, lease_s = 14;
  double image_s = 0.3;  // time to fetch an image
  double error_s = 0.5;  // time after which a task of a mistaken job fails
};

struct MachineType {
  std::string name;
  double cores = 16, memory_gb = 32, price = 1, spot_price = 0.4, ready_s = 40;
  std::vector<std::string> zones;
};

class Worker {
 public:
  Worker(std::string name, MachineType type, std::string zone, bool spot,
         const WorkerSettings& settings, Jobs* jobs, History* history);
  ~Worker();
  void Start();
  // The machine is taken away with all that is on it. Silent: connections to it
  // are neither refused nor answered in time.
  void Gone(bool silent = false);
  std::string address() const { return server_.address(); }
  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }
  bool spot() const { return spot_; }
  const MachineType& type() const { return type_; }

  // Reports to this controller get lost (or answers, see `deaf`).
  void SetCutFrom(const std::string& controller, bool cut);
  void SetCommandsCut(bool cut) { commands_cut_ = cut; }
  void SetDeaf(bool deaf) { deaf_ = deaf; }
  void SetHung(bool hung) { hung_ = hung; }
  void SetLateCopies(double share) { late_copies_ = share; }
  // Cores that no task holds.
  double FreeCores();
  std::string controller();
  double last_report_sent() const { return last_report_sent_; }
  bool gone() const { return gone_; }
  uint64_t baton();

 private:
  struct Task {
    std::string part;
    uint64_t attempt = 0;
    std::string status = "fetching", cause;
    bool saved = false, on_machine = false;
    double changes_at = 0, cores = 0, memory_gb = 0;
    size_t stay = 0;
  };
  using Key = std::pair<std::string, uint64_t>;

  void Live();     // the machine's own work: leases and tasks
  void Reports();  // sends reports
  void SendReport();
  void NextController(const std::string& steward);
  // With the mutex held.
  void Advance();
  json MakeReport();
  void Execute(const json& orders, double report_sent,
               const std::string& controller, uint64_t baton);
  void LaunchTask(const std::string& part, uint64_t attempt);
  void HaltTask(Task* task, double leeway_s);
  void EndTask(Task* task, const std::string& cause);
  void KillAll(const std::string& why);

  const std::string name_, zone_;
  const MachineType type_;
  const bool spot_;
  const WorkerSettings settings_;
  Jobs* jobs_;
  History* history_;
  Server server_;
  std::mutex mutex_;
  std::map<Key, Task> tasks_;
  std::set<std::string> images_;
  uint64_t shift_ = 1, tick_ = 0, baton_ = 0;
  double lease_from_ = 0;
  bool changed_ = true;
  std::set<std::string> cut_from_;
  std::atomic<bool> commands_cut_{false}, gone_{false}, deaf_{false},
      hung_{false};
  std::atomic<double> late_copies_{0};
  std::atomic<double> last_report_sent_{-10};
  size_t controller_ = 0;
  std::unique_ptr<Client> client_;
  std::string client_address_;
  std::thread live_, reports_;
};

struct Capacity {
  std::string type, zone;
  int ordinary = 0, spot = 0;
};

class Cloud {
 public:
  Cloud(std::vector<MachineType> types, std::vector<Capacity> capacity,
        const WorkerSettings& settings, double boot_s, double list_lag_s,
        Jobs* jobs, History* history);
  void Start();
  std::string address() const { return server_.address(); }
  // All machines that are up and not gone.
  std::vector<std::shared_ptr<Worker>> Workers();
  // The machine stops with all that is on it. It stays listed as `running` for
  // 30 s, then as `failed`.
  void Die(const std::string& name);
  // Machines that were released or taken stay known here under their names.
  std::shared_ptr<Worker> Find(const std::string& name);

 private:
  struct Host {
    std::string name, type, zone;
    bool spot = false;
    double rented_at = 0, up_at = 0, gone_at = -1, died_at = -1;
    std::shared_ptr<Worker> worker;
  };
  void Hire(const httplib::Request& request, httplib::Response& response);
  void Release(const httplib::Request& request, httplib::Response& response);
  void List(const httplib::Request& request, httplib::Response& response);
  void BootLoop();
  const MachineType& Type(const std::string& name) const;

  const std::vector<MachineType> types_;
  const std::vector<Capacity> capacity_;
  const WorkerSettings settings_;
  const double boot_s_, list_lag_s_;
  Jobs* jobs_;
  History* history_;
  Server server_;
  std::mutex mutex_;
  std::map<std::string, Host> hosts_;
  std::map<std::string, json> answered_;  // by the name of the request
  int next_host_ = 1;
};

}  // namespace review
