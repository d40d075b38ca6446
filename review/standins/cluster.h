// The project's controllers as separate processes, started with the command of
// the deploy file, and users who talk to them.
#pragma once

#include <sys/types.h>

#include <optional>

#include "machines.h"
#include "state_service.h"

namespace review {

struct ClusterOptions {
  int controllers = 3;
  json teams = json::array();
  json objectives = json::array();
  double report_s = 0.5, lease_s = 6, cancel_s = 24;
  StateLimits state;
  double cloud_rps = 20, list_lag_s = 1;
  double ram_mb = 400;
  int sockets = 1500;
  std::vector<MachineType> types;
  // Machines of each type, ordinary and cheap, that the cloud has in a zone.
  int ordinary = 2, cheap = 2;
  // The first controller is alone in zone "a"; the others are in zone "b".
  bool lone_zone = false;
};

struct Answer {
  int status = 0;  // 0: none
  json body;
  double retry_after_s = 0;
};

class Cluster {
 public:
  Cluster(const ClusterOptions& options, std::vector<std::string> command,
          const std::string& folder);

  void Start(int index);
  void Signal(int index, int signal);
  void Kill(int index);
  void KillAll();
  // Processes that ended without being killed by this test.
  std::vector<std::string> FindEnded();
  bool running(int index) const { return processes_[Index(index)].pid > 0; }
  int size() const { return static_cast<int>(processes_.size()); }
  Proxy& state_proxy(int index) { return *processes_[Index(index)].state; }
  // Cuts zone "a" off from everything else, or ends the cut (`lone_zone`).
  void CutZone(bool cut);
  long ResidentKib(int index) const;

  double Metric(int index, const std::string& name) const;
  // The controller that the leader key names, or -1.
  int FindLeader() const;
  int WaitForLeader(double timeout_s) const;

  // One request of a user to one controller, without retries.
  Answer Ask(int index, const std::string& method, const std::string& path,
             const json* body, double timeout_s) const;
  // As users do, through the load balancer: repeats the submission until it is
  // accepted or refused, for up to 60 s.
  Answer Submit(const json& spec, double run_s);
  Answer Poll(const std::string& id);
  // Repeats a cancellation until it is answered, for up to 60 s. The time at
  // which the user was told "cancelled", or -1.
  double Cancel(const std::string& id);

  Jobs jobs;
  History history;
  std::map<std::string, WorkerSettings> workers;  // by room
  std::unique_ptr<StateService> state;
  std::unique_ptr<Cloud> cloud;

 private:
  struct Process {
    pid_t pid = -1;
    std::string name, config, log, address;
    std::unique_ptr<Proxy> state, cloud;
  };
  // What the load balancer knows of a controller.
  struct Health {
    bool healthy = false, ever = false;
    int failures = 0, successes = 0;
    double removed_at = -100;
  };
  static size_t Index(int index) { return static_cast<size_t>(index); }
  void Probe();
  // The controller that the load balancer chooses for a new connection.
  int Choose();
  static double Pause(const Answer& answer);

  Proxy* AddBorderLink(int target_port);

  std::vector<std::string> command_;
  std::vector<Process> processes_;
  std::mutex border_mutex_;
  std::vector<std::unique_ptr<Proxy>> border_;  // links into and out of zone a
  std::atomic<bool> zone_cut_{false};
  std::atomic<uint64_t> term_of_zone_a_{0};  // of the leader that is cut off
  std::mutex health_mutex_;
  std::vector<Health> health_;
};

// A submission with all fields; `changes` replaces some of them.
json MakeJob(const std::string& id, const json& changes);
std::string JobId(int number);

}  // namespace review
