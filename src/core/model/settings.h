// What the platform's settings file and the operators' own settings say, in the
// core's terms.
#pragma once

#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "core/model/spread_settings.h"

namespace sorrelwood {

// A team without a limit may use all that is unused.
inline constexpr double kNoLimit = std::numeric_limits<double>::infinity();

// Quotas of a team: what it is guaranteed and what it may use at most.
struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
};

// A service-level objective of the operators.
struct Objective {
  std::string kind;  // "deadline", "wait", "finished", "guarantee", ...
  std::string job_class;
  double within_s = 0;
  double times = 1;  // of a deadline
};

// Another controller.
struct Peer {
  std::string name, zone, address;
};

// What the state service takes at most.
struct StateLimits {
  double write_rps = 60;  // changes a second
  double value_kb = 8;    // KiB of one value
  int txn_ops = 16;       // changes in one transaction
};

// The platform's settings file.
struct ClusterSettings {
  std::string node;
  std::string zone;
  std::string listen;       // for users, workers and probes
  std::string peer_listen;  // for the other controllers
  std::vector<Peer> peers;
  std::string cloud_address, state_address;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  double heartbeat_interval_s = 2;
  double worker_lease_s = 14;     // a worker kills its tasks when it runs out
  double cancel_deadline_s = 40;  // a cancelled job's tasks are gone by then
  double state_rps = 150, state_write_rps = 60;
  double state_value_kb = 8;
  int state_txn_ops = 16;
  std::optional<StateLimits> state_next;  // may come into force at any time
  double cloud_rps = 4;
  double list_lag_s = 5;  // age of the cloud's inventory
  int sockets = 1000;
  double memory_mib = 0;  // 0: not said
  // What could not be read and can be done without, each with its reason.
  std::vector<std::string> ignored;
};

// The operators' own settings (operator.proto), checked.
struct PolicySettings {
  double speculation_s = 900;   // speculation limit, `t` in the paper
  double wait_limit_s = 10800;  // wait limit, `b` in the paper
  double hold_s = 10;           // idle time before a rented machine is released
  double drain_s = 30;          // backlog that may wait for running capacity
  double dear_drain_s =
      300;                  // the same before premium machines are provisioned
  double base_share = 0.1;  // baseline at the start, of all guarantees
  double base_memory_s = 30;  // how slowly the baseline follows the load
  bool use_spot = true;
  double refit_s = 180;  // interval of fitting the wait predictor
  int tree_depth = 4;
  int tree_leaf = 8;
  int tree_count = 5;
  int tree_samples = 2000;
  SpreadSettings spread;
};

}  // namespace sorrelwood
