// The operators' settings of load spread (src/config/operator.proto,
// docs/load-spread.md).
#pragma once

namespace sorrelwood {

struct SpreadSettings {
  // New tasks keep within the bounds of each machine.
  bool placement = false;
  // Running tasks move off machines beyond their bounds.
  bool moves = false;
  // How far a machine's load may lie above its even part, as a share of it.
  double headroom = 0.25;
  // The share of all cores in use that lies above the bounds: moves start once
  // it has been over `start_imbalance` for `min_imbalance_duration_s`, and stop
  // under `stop_imbalance`.
  double start_imbalance = 0.15;
  double stop_imbalance = 0.08;
  double min_imbalance_duration_s = 10;
  // No moves for so long after they have stopped, and no second move of a task.
  double cooldown_s = 60;
  int moves_per_minute = 120;
  int team_moves_per_minute = 60;
  int job_moves_per_minute = 30;
  // How long capacity is reserved for a task that was told to stop.
  double reservation_timeout_s = 12;
  // Images that a machine may be fetching when it is to fetch one more.
  int max_concurrent_fetches = 3;
};

}  // namespace sorrelwood
