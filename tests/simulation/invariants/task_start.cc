#include "simulation/invariants/invariants.h"

namespace sorrelwood::test {

void CheckTaskMayStart(SimulatedCluster& cluster, const Worker& worker,
                       const WorkerTask& task) {
  CheckSingleExecution(cluster, worker, task);
  CheckPlacementConstraints(cluster, worker, task);
  CheckCancelledJobDoesNotStart(cluster, task);
}

}  // namespace sorrelwood::test
