// What operators choose about load spread (operator.proto,
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
  // The share of all cores in use that lies above the bounds: moves begin once
  // it has been over `begin_imbalance` for `lasting_s`, and end under
  // `end_imbalance`.
  double begin_imbalance = 0.15;
  double end_imbalance = 0.08;
  double lasting_s = 10;
  // No moves for so long after they have ended, and no second move of a task.
  double pause_s = 60;
  int moves_per_minute = 120;
  int team_moves_per_minute = 60;
  int job_moves_per_minute = 30;
  // How long a place is held for a task that was told to stop.
  double hold_place_s = 12;
  // Images that a machine may be fetching when it is to fetch one more.
  int most_fetches = 3;
};

}  // namespace sorrelwood
