#include "simulation/invariants/invariants.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {

void CheckResultIsStoredBeforeForgotten(SimulatedCluster& cluster,
                                        const WorkerTask& task) {
  if (task.reason != ExitReason::kDone ||
      cluster.clients().Get(task.id.job).spec.IsService() ||
      cluster.state_service().HasResult(task.id))
    return;
  cluster.ReportViolation("result forgotten before it was stored: " +
                          task.id.job + "/" + std::to_string(task.id.task));
}

}  // namespace sorrelwood::test
