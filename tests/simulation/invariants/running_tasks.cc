#include <map>
#include <string>

#include "simulation/invariants/invariant_checker.h"
#include "simulation/invariants/invariants.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

// Tolerance for rounding errors in sums of CPUs.
constexpr double kRoundingToleranceCpus = 1e-6;

}  // namespace

void CheckRunningTasks(SimulatedCluster& cluster) {
  std::map<std::string, double> cpus_by_team;
  for (const auto& [name, worker] : cluster.workers().all()) {
    if (!cluster.workers().HoldsLease(*worker)) continue;
    for (const auto& [id, task] : worker->tasks) {
      if (!task.IsExecuting()) continue;
      const JobSpec& spec = cluster.clients().Get(id.job).spec;
      cpus_by_team[spec.team] += spec.cpus;
      CheckCancelledJobHasStopped(cluster, *worker, task);
    }
  }
  for (const Team& team : cluster.settings().teams)
    if (cpus_by_team[team.name] > team.cpus_max + kRoundingToleranceCpus)
      cluster.ReportViolation("team limit exceeded: " + team.name + " uses " +
                              std::to_string(cpus_by_team[team.name]) + " of " +
                              std::to_string(team.cpus_max) + " CPUs");
}

}  // namespace sorrelwood::test
