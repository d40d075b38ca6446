// The settings of the platform (ClusterSettings) and of the operators
// (PolicySettings) in the core's terms. src/config reads and checks the files
// and maps the names of their fields to these.
#pragma once

#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "core/model/spread_settings.h"

namespace sorrelwood {

// Where there is no limit, e.g. for a team that may use all capacity that the
// other teams leave unused.
inline constexpr double kNoLimit = std::numeric_limits<double>::infinity();

// Quotas of a team: its guarantee and its limit.
struct Team {
  std::string name;
  double cpus = 0;      // guaranteed cores
  double cpus_max = 0;  // limit on cores, or kNoLimit
  double gpus = 0;      // guaranteed devices
  double gpus_max = 0;  // limit on devices, or kNoLimit
};

// A service-level objective, set by the operators.
struct Objective {
  // "deadline", "wait" or "finished"; other kinds, such as "guarantee", have no
  // effect.
  std::string kind;
  // Class of the jobs it applies to. Empty: it applies to no job.
  std::string job_class;
  double within_s = 0;         // time limit, for the kinds that have one
  double deadline_factor = 1;  // multiple of a job's own deadline
};

// Another controller of the cluster.
struct Peer {
  std::string name;
  std::string zone;
  std::string address;  // "IP:port"
};

// The limits of the state service.
struct StateLimits {
  double mutations_per_s = 60;  // of all controllers together
  double max_value_kib = 8;     // size of one value
  int max_mutations_per_transaction = 16;
};

// The platform's settings file.
struct ClusterSettings {
  std::string node;                 // this controller's name
  std::string zone;                 // this controller's zone
  std::string listen_address;       // for users, workers and probes
  std::string peer_listen_address;  // for the other controllers
  std::vector<Peer> peers;
  std::string cloud_address;
  std::string state_address;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  double heartbeat_interval_s = 2;
  double worker_lease_s = 14;     // a worker kills its tasks when it expires
  double cancel_deadline_s = 40;  // from a job's cancellation to its tasks' end
  double state_requests_per_s = 150;
  double state_mutations_per_s = 60;
  double state_max_value_kib = 8;
  int state_max_mutations_per_transaction = 16;
  // Announced limits, which may take effect at any time.
  std::optional<StateLimits> next_state_limits;
  double cloud_requests_per_s = 4;
  double cloud_list_lag_s = 5;  // how far the cloud's inventory may lag behind
  int socket_limit = 1000;      // open sockets of this process
  double memory_limit_mib = 0;  // of this process; 0: unlimited
  // Objectives that could not be parsed, each with its field and reason. They
  // are ignored, since the cluster can be served without them.
  std::vector<std::string> ignored_objectives;
};

// The operators' own settings (src/config/operator.proto), after validation.
// Machines of the baseline are owned, all others are rented.
struct PolicySettings {
  // A task that has run for this time on a rented machine is stopped, and may
  // be requeued for the baseline (`t` of the waiting policy, see
  // core/scheduling/waiting_policy.h).
  double speculation_limit_s = 900;
  // The longest time that a job waits for the baseline (`b` of the
  // waiting policy).
  double wait_limit_s = 10800;
  // Idle time before a rented machine is released.
  double idle_release_delay_s = 10;
  // No machines are rented for queued work that the running machines complete
  // within this time.
  double backlog_limit_s = 30;
  // The same limit for renting machines far more expensive than the cheapest.
  double premium_backlog_limit_s = 300;
  // Initial and maximum size of the baseline, as a share of all guaranteed
  // cores.
  double baseline_initial_share = 0.1;
  // Time constant of the smoothing with which the baseline follows the load.
  double baseline_smoothing_s = 30;
  bool use_spot = true;
  // Interval at which the wait predictor's trees are fitted again.
  double predictor_fit_interval_s = 180;
  int tree_depth = 4;             // maximum depth of a tree
  int tree_min_leaf_samples = 8;  // minimum number of samples in a leaf
  int tree_count = 5;
  int tree_max_samples = 2000;  // the newest samples are kept
  SpreadSettings spread;
};

}  // namespace sorrelwood
