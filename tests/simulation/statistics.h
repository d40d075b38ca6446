// What a simulated run counts, for tests and measurements.
#pragma once

#include <cstdint>
#include <map>

#include "core/balance/rebalancer.h"

namespace sorrelwood::test {

// Processor time of the leaders.
struct LeaderCost {
  double total_s = 0;
  double max_s = 0;         // for the costliest input
  uint64_t heartbeats = 0;  // that reached any controller

  double SecondsPerHeartbeat() const {
    return heartbeats == 0 ? 0 : total_s / static_cast<double>(heartbeats);
  }
};

struct SimulationStatistics {
  int tasks_started = 0;
  int jobs_accepted = 0;
  int jobs_done = 0;       // told done to their clients
  int jobs_cancelled = 0;  // told cancelled to their clients
  int takeovers = 0;       // terms of leaders
  // Starts of replicas of the crash looping service.
  int crash_loop_starts = 0;
  // Starts that a machine was given after the cancellation was confirmed.
  int late_starts = 0;
  // Invalid submissions that were refused as such.
  int invalid_jobs_rejected = 0;
  // Transactions over the state service's limits.
  int refused_for_size = 0, refused_for_rate = 0;
  // Machines without fault that were released as faulty.
  int healthy_machines_released = 0;
  // Ticks of controllers that told the load balancer to leave them out.
  int unhealthy_ticks = 0;
  // The most machines and jobs that any controller looked at for one input.
  uint64_t max_work_per_input = 0;
  LeaderCost leader_cost;

  // Moves of running tasks that leaders have begun and finished, all terms.
  uint64_t moves_begun = 0, moves_finished = 0;
  // When the imbalance was last over the rebalancer's margin (s; 0: never).
  double unbalanced_until_s = 0;
  // As leaders last measured it within each second of the run.
  std::map<int, double> imbalance_by_second;

  // The mean over the seconds from `from_s` to `until_s`.
  double MeanImbalance(double from_s, double until_s) const;
  // Takes in what a leader measured. `margin` is the imbalance at which the
  // rebalancer rests.
  void AddRebalancing(double now_s, const Rebalancer::Statistics& measured,
                      double margin);

 private:
  Rebalancer::Statistics last_rebalancing_;
};

}  // namespace sorrelwood::test
