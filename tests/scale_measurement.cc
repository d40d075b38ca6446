// Measures the CPU time of a leader for fleets of several sizes: the mean per
// heartbeat and the maximum per input, while the fleet starts, runs and goes
// through a failover. Prints a table. Not part of the tests, since the times
// depend on the processor.
//
// Usage: sorrelwood_scale_measurement [MACHINES...]
#include <cstdio>
#include <cstdlib>

#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

constexpr int kMachinesAtScaleOne = 1500;
constexpr int kJobsAtScaleOne = 120;

SimulationOptions MakeFailoverOptions(double scale) {
  SimulationOptions options;
  options.large_fleet = true;
  options.fleet_scale = scale;
  options.controllers = 3;
  options.jobs = static_cast<int>(kJobsAtScaleOne * scale);
  options.submit_until_s = 100;
  options.duration_s = 160;
  options.check_interval_steps = 1000000;
  options.faults = {
      {.at_s = 90, .kind = FaultKind::kLeaderCrash, .restart_s = 3}};
  return options;
}

// Prints one line of the table.
void Measure(int machines) {
  const double scale = static_cast<double>(machines) / kMachinesAtScaleOne;
  SimulatedCluster cluster(MakeFailoverOptions(scale));
  cluster.Run();
  const LeaderCost& cost = cluster.statistics().leader_cost;
  std::printf("%8d %11d %10llu %18.1f %8.2f\n", machines,
              cluster.cloud().machines_provisioned(),
              static_cast<unsigned long long>(cost.heartbeats),
              cost.SecondsPerHeartbeat() * 1e6, cost.max_s * 1e3);
}

}  // namespace
}  // namespace sorrelwood::test

int main(int argc, char** argv) {
  std::printf("machines provisioned heartbeats us/heartbeat(mean)   max ms\n");
  if (argc < 2) {
    for (const int machines : {500, 1500, 4500})
      sorrelwood::test::Measure(machines);
    return 0;
  }
  for (int i = 1; i < argc; ++i) sorrelwood::test::Measure(std::atoi(argv[i]));
  return 0;
}
