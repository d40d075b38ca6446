#include <algorithm>
#include <map>

#include "simulation/invariants/invariants.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

bool MachineIsAllowed(const JobSpec& spec, const Worker& worker) {
  const bool type_allowed =
      spec.types.empty() || std::find(spec.types.begin(), spec.types.end(),
                                      worker.type) != spec.types.end();
  const bool zone_allowed = spec.zone.empty() || spec.zone == worker.zone;
  return type_allowed && zone_allowed && (!worker.spot || spec.spot);
}

// Counts the job's executing tasks on machines that hold their lease.
std::map<std::string, uint32_t> ExecutingTasksByZone(SimulatedCluster& cluster,
                                                     const std::string& job) {
  std::map<std::string, uint32_t> by_zone;
  for (const std::string& name : cluster.tasks().WorkersCommandedToStart(job)) {
    const Worker& worker = cluster.workers().Get(name);
    if (!cluster.workers().HoldsLease(worker)) continue;
    for (const auto& [id, task] : worker.tasks)
      if (id.job == job && task.IsExecuting()) ++by_zone[worker.zone];
  }
  return by_zone;
}

}  // namespace

void CheckPlacementConstraints(SimulatedCluster& cluster, const Worker& worker,
                               const WorkerTask& task) {
  const JobSpec& spec = cluster.clients().Get(task.id.job).spec;
  const std::string name = task.id.job + "/" + std::to_string(task.id.task);
  if (!MachineIsAllowed(spec, worker))
    cluster.ReportViolation("placement: " + name + " is not allowed on " +
                            worker.name);
  if (!spec.one_zone && !spec.spread) return;
  std::map<std::string, uint32_t> by_zone =
      ExecutingTasksByZone(cluster, task.id.job);
  if (spec.one_zone && !by_zone.empty() &&
      (by_zone.size() > 1 || by_zone.begin()->first != worker.zone))
    cluster.ReportViolation("placement: " + name +
                            " is outside the zone of its job");
  if (spec.spread && by_zone[worker.zone] + 1 > (spec.tasks + 1) / 2)
    cluster.ReportViolation("placement: " + name +
                            " makes over half of its job run in one zone");
}

}  // namespace sorrelwood::test
