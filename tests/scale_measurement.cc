// Measures what a leader's work costs at fleets of several sizes: processor
// time for each report, in all and for the costliest input, while the fleet
// starts, runs, and is taken over. Prints a table; no part of the tests, since
// its statistics depend on the machine.
#include <cstdio>
#include <cstdlib>

#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

constexpr int kMachinesAtScaleOne = 1500;
constexpr int kJobsAtScaleOne = 120;

SimulationOptions Autoscaler(double scale) {
  SimulationOptions options;
  options.fleet = true;
  options.fleet_scale = scale;
  options.nodes = 3;
  options.jobs = static_cast<int>(kJobsAtScaleOne * scale);
  options.submit_until_s = 100;
  options.duration_s = 160;
  options.check_every = 1000000;
  options.faults = {{90, SimulationOptions::Fault::kCrashLeader, 0, 3}};
  return options;
}

void CollectStatistics(int machines) {
  const double scale = static_cast<double>(machines) / kMachinesAtScaleOne;
  SimulatedCluster cluster(Autoscaler(scale));
  cluster.Run();
  const SimulatedCluster::Cost& cost = cluster.cost();
  std::printf("%8d %8d %9llu %12.1f %10.2f\n", machines,
              cluster.machines_rented(),
              static_cast<unsigned long long>(cost.reports),
              cost.PerHeartbeat() * 1e6, cost.most_s * 1e3);
}

}  // namespace
}  // namespace sorrelwood::test

int main(int argc, char** argv) {
  std::printf("machines   rented   reports us/report(mean)  peak ms\n");
  if (argc < 2) {
    for (const int machines : {500, 1500, 4500})
      sorrelwood::test::CollectStatistics(machines);
    return 0;
  }
  for (int i = 1; i < argc; ++i)
    sorrelwood::test::CollectStatistics(std::atoi(argv[i]));
  return 0;
}
