// Statistics of a simulated run, for tests and measurements.
#pragma once

#include <cstdint>
#include <map>

#include "core/balance/rebalancer.h"

namespace sorrelwood::test {

// Processor time of the leaders.
struct LeaderCost {
  double total_s = 0;
  double max_s = 0;         // of the most expensive input
  uint64_t heartbeats = 0;  // received by all controllers

  double SecondsPerHeartbeat() const {
    return heartbeats == 0 ? 0 : total_s / static_cast<double>(heartbeats);
  }
};

struct SimulationStatistics {
  int tasks_started = 0;
  int jobs_accepted = 0;
  int jobs_done = 0;       // reported done to their clients
  int jobs_cancelled = 0;  // reported cancelled to their clients
  int takeovers = 0;       // terms in which a controller led
  // Starts of replicas of the crash-looping service.
  int crash_loop_starts = 0;
  // Commands to start a task that arrived after its cancellation was confirmed.
  int late_starts = 0;
  // Invalid submissions that were answered with status 422.
  int invalid_jobs_rejected = 0;
  // Transactions over the state service's limits.
  int refused_for_size = 0, refused_for_rate = 0;
  // Healthy machines that were released as faulty.
  int healthy_machines_released = 0;
  // Ticks of controllers that reported themselves unhealthy to the load
  // balancer.
  int unhealthy_ticks = 0;
  // The most machines and jobs that a controller examined for one input.
  uint64_t max_work_per_input = 0;
  LeaderCost leader_cost;

  // Moves of running tasks that were begun and finished in all terms.
  uint64_t moves_begun = 0, moves_finished = 0;
  // When the imbalance was last over the rebalancer's margin (s; 0: never).
  double unbalanced_until_s = 0;
  // The last measurement of a leader in each second of the run.
  std::map<int, double> imbalance_by_second;

  // The mean imbalance from `from_s` to before `until_s`.
  double MeanImbalance(double from_s, double until_s) const;
  // Adds a leader's measurement. `margin` is the imbalance at which the
  // rebalancer stops.
  void AddRebalancing(double now_s, const Rebalancer::Statistics& measured,
                      double margin);

 private:
  Rebalancer::Statistics last_rebalancing_;
};

}  // namespace sorrelwood::test
