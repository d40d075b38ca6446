#include "simulation/invariants/invariants.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {

void CheckSingleExecution(SimulatedCluster& cluster, const Worker& worker,
                          const WorkerTask& task) {
  for (const std::string& name :
       cluster.tasks().WorkersCommandedToStart(task.id.job)) {
    const Worker& other = cluster.workers().Get(name);
    // A worker that hung until its lease expired kills its tasks before it
    // resumes.
    if (&other == &worker || !cluster.workers().HoldsLease(other)) continue;
    const auto attempt = other.tasks.find(task.id);
    if (attempt == other.tasks.end() || !attempt->second.IsExecuting())
      continue;
    cluster.ReportViolation("task runs twice: " + task.id.job + "/" +
                            std::to_string(task.id.task) + " on " +
                            worker.name + " and " + name);
  }
}

}  // namespace sorrelwood::test
