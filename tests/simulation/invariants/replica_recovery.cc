#include <map>
#include <string>

#include "simulation/invariants/invariant_checker.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

// Allows for the worker lease of a lost machine, the boot of a new one, and the
// start of the replica (s).
constexpr double kMaxDegradedS = 45;

std::map<std::string, uint32_t> ExecutingTasksByJob(SimulatedCluster& cluster) {
  std::map<std::string, uint32_t> tasks;
  for (const auto& [name, worker] : cluster.workers().all())
    for (const auto& [id, task] : worker->tasks)
      if (task.IsExecuting()) ++tasks[id.job];
  return tasks;
}

// CPUs of tasks with the priority of services, which are not preempted for
// services.
std::map<std::string, double> ProductionCpusByTeam(SimulatedCluster& cluster) {
  std::map<std::string, double> cpus;
  for (const auto& [name, worker] : cluster.workers().all()) {
    for (const auto& [id, task] : worker->tasks) {
      const JobSpec& spec = cluster.clients().Get(id.job).spec;
      if (spec.priority == Priority::kProduction && task.HoldsResources())
        cpus[spec.team] += spec.cpus;
    }
  }
  return cpus;
}

}  // namespace

void CheckReplicasAreReplaced(SimulatedCluster& cluster) {
  if (cluster.NetworkIsUnusable() || cluster.now() < cluster.faults_end_s())
    return;
  std::map<std::string, uint32_t> executing = ExecutingTasksByJob(cluster);
  std::map<std::string, double> production = ProductionCpusByTeam(cluster);
  for (const auto& [id, job] : cluster.clients().all()) {
    const JobSpec& spec = job->spec;
    const bool degraded =
        spec.IsService() && job->accepted && !job->cancel_requested &&
        !job->crash_loops && !job->replicas_exit &&
        executing[id] < spec.tasks &&
        production[spec.team] + spec.cpus <= cluster.TeamCpuLimit(spec.team);
    if (!degraded) job->degraded_since_s = 0;
    if (degraded && job->degraded_since_s == 0)
      job->degraded_since_s = cluster.now();
    if (!degraded || cluster.now() - job->degraded_since_s <= kMaxDegradedS)
      continue;
    cluster.ReportViolation("replicas of " + id + " are not replaced: " +
                            std::to_string(executing[id]) + " of " +
                            std::to_string(spec.tasks) + " run");
    job->degraded_since_s = cluster.now();
  }
}

}  // namespace sorrelwood::test
