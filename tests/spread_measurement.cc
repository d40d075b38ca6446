// Compares runs with load spread enabled and disabled for the same seeds: a
// burst of one team on a fleet of about 300 machines, and the same fleet
// without the burst. Prints a table. Not part of the tests, since the times
// depend on the processor.
//
// Usage: sorrelwood_spread_measurement [SEEDS]
#include <cstdio>
#include <cstdlib>

#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

constexpr double kBurstEndsS = 90;

// Features of load spread that are enabled.
enum class Mode { kOff, kPlacement, kMoves };

SimulationOptions MakeOptions(uint64_t seed, bool burst, Mode mode) {
  SimulationOptions options;
  options.seed = seed;
  options.large_fleet = true;
  options.fleet_scale = 0.2;
  options.jobs = 10;
  options.run_time_factor = 2;
  options.submit_until_s = 150;
  options.duration_s = 480;
  options.check_interval_steps = 200;
  options.policy.baseline_initial_share = 0.2;
  if (burst) {
    options.burst_jobs = 24;
    options.burst_tasks = 50;
  }
  SpreadSettings& spread = options.policy.spread;
  spread.placement = mode != Mode::kOff;
  spread.moves = true;  // required for the imbalance to be measured
  if (mode != Mode::kMoves) spread.moves_per_minute = 0;
  return options;
}

// Prints one line of the table.
void Measure(uint64_t seed, bool burst, Mode mode) {
  SimulatedCluster cluster(MakeOptions(seed, burst, mode));
  cluster.Run();
  const char* mode_names[] = {"off", "placement", "moves"};
  const SimulationStatistics& measured = cluster.statistics();
  std::printf(
      "%-6s %4llu %-10s %9.3f %9.3f %8.0f %6llu %6d %8.1f %9.0f %8.1f %zu\n",
      burst ? "burst" : "quiet", static_cast<unsigned long long>(seed),
      mode_names[static_cast<int>(mode)],
      measured.MeanImbalance(60, kBurstEndsS),
      measured.MeanImbalance(kBurstEndsS + 60, kBurstEndsS + 120),
      measured.unbalanced_until_s,
      static_cast<unsigned long long>(measured.moves_finished),
      measured.jobs_done, cluster.clients().MeanJobTime(),
      cluster.workers().TotalMachineTime(),
      measured.leader_cost.SecondsPerHeartbeat() * 1e6,
      cluster.violations().size());
}

}  // namespace
}  // namespace sorrelwood::test

int main(int argc, char** argv) {
  using sorrelwood::test::Mode;
  const uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 4;
  std::printf(
      "load   seed mode       imbalance:60-90  150-210  unbalanced_until_s "
      "moves done job_s machine_s us/heartbeat violations\n");
  for (const bool burst : {true, false})
    for (uint64_t seed = 1; seed <= seeds; ++seed)
      for (const Mode mode : {Mode::kOff, Mode::kPlacement, Mode::kMoves})
        sorrelwood::test::Measure(seed, burst, mode);
  return 0;
}
