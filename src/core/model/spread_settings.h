// The operators' settings for spreading load over machines
// (src/config/operator.proto, docs/load-spread.md).
#pragma once

namespace sorrelwood {

struct SpreadSettings {
  // Place new tasks preferably where they keep machines within their load
  // bounds.
  bool placement = false;
  // Move running tasks off machines whose load exceeds their bounds.
  bool moves = false;
  // How far a machine's load bound lies above its even share of the demand, as
  // a fraction of that share.
  double headroom = 0.25;
  // Imbalance is the fraction of all cores in use that are used beyond the load
  // bounds of their machines.
  // Moves start once it has been at least `start_imbalance` for
  // `min_imbalance_duration_s`, and stop when it is below `stop_imbalance`.
  double start_imbalance = 0.15;
  double stop_imbalance = 0.08;
  double min_imbalance_duration_s = 10;
  // For this time after moves have stopped none start again, and a task that
  // was moved is not moved again.
  double cooldown_s = 60;
  int moves_per_minute = 120;
  int team_moves_per_minute = 60;
  int job_moves_per_minute = 30;
  // How long capacity on the target machine stays reserved for a task that is
  // being stopped for its move.
  double reservation_timeout_s = 12;
  // A machine that is fetching this many images is not the target of a move
  // that needs one more fetch, and new tasks prefer other machines.
  int max_concurrent_fetches = 3;
};

}  // namespace sorrelwood
