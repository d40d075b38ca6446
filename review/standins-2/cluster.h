// A small deployment: controllers as processes of their own, and the stand-ins
// around them.
#pragma once

#include <sys/types.h>

#include "fleet.h"
#include "state_service.h"
#include "util.h"

namespace review {

// Forwards connections from its own port to another, until it is told to
// refuse them.
class Relay {
 public:
  explicit Relay(int target_port);
  void Start();
  int port() const { return port_; }
  // Refuses new connections and resets the open ones, or accepts again.
  void SetRefused(bool refused);

 private:
  void Accept();
  void Forward(int from);
  bool Listen();

  const int target_port_;
  int port_ = 0;
  std::mutex mutex_;
  int listener_ = -1;
  std::set<int> open_;
  bool refused_ = false;
};

struct Site {
  int controllers = 3;
  std::vector<std::string> controller_zones, zones;
  json teams, objectives = json::array();
  double report_s = 2, lease_s = 14, cancel_s = 44;
  double rps = 150, write_rps = 60, value_kb = 8;
  int txn_ops = 16;
  double cloud_rps = 4, list_lag_s = 5;
  double ram_mb = 72, cpu_share = 0.12;
  int sockets = 1000;
  std::vector<MachineType> types;
  std::vector<Capacity> capacity;
  double boot_s = 1.2;
};

// musika-ph as in kit/sites.
Site MusikaSite();

class Cluster {
 public:
  explicit Cluster(const Site& site);
  ~Cluster();
  // Starts stand-ins and controllers. False if no leader was elected and
  // answers in time.
  bool Start(double within_s);
  void Kill(int controller);
  // Ends all processes and removes their files.
  void KillAll();
  void Stop(int controller);      // SIGSTOP
  void Continue(int controller);  // SIGCONT
  void StartController(int controller);
  // False if the process has ended by itself.
  bool IsRunning(int controller);

  StateService& state() { return *state_; }
  Cloud& cloud() { return *cloud_; }
  Jobs& jobs() { return jobs_; }
  History& history() { return history_; }
  const Site& site() const { return site_; }
  std::string Name(int controller) const;
  std::string address(int controller) const;  // for users and workers
  // The controller that holds the leader key, or -1.
  int Leader();
  int OtherThanLeader();
  // All connections between controllers are refused, or accepted again.
  void RefusePeers(bool refused);
  void CutPeersOf(int controller, bool cut);

 private:
  struct Process {
    pid_t pid = -1;
    int serve_port = 0, mesh_port = 0;
  };
  void WriteSettings(int controller);

  const Site site_;
  std::string folder_;
  Jobs jobs_;
  History history_;
  std::unique_ptr<StateService> state_;
  std::unique_ptr<Cloud> cloud_;
  std::vector<Process> processes_;
  // [from][to]
  std::vector<std::vector<std::unique_ptr<Relay>>> mesh_;
};

// A user with one connection to one controller.
class User {
 public:
  User(Cluster* cluster, int controller);
  // Each writes the request and the answer to the record.
  Client::Answer Submit(const std::string& uid, const JobPlan& plan);
  Client::Answer Poll(const std::string& uid);
  Client::Answer Cancel(const std::string& uid);

 private:
  Client::Answer Log(const std::string& what, double sent,
                     const Client::Answer& answer);
  Cluster* cluster_;
  int controller_;
  Client submit_, poll_;
};

// Submits at the controllers in turn until the job is accepted.
bool SubmitUntilAccepted(Cluster* cluster, const std::string& uid,
                         const JobPlan& plan, double within_s);
// The same for a cancellation. Returns the time of the confirmation, or -1.
double CancelUntilConfirmed(Cluster* cluster, const std::string& uid,
                            std::vector<int> controllers, double within_s);

// A submission with usual values; the caller changes what it needs.
json MakeSubmission(const std::string& uid, const std::string& roster,
                    const std::string& crew);

}  // namespace review
