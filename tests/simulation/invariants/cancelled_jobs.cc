#include "base/constants.h"
#include "simulation/invariants/invariants.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

// Latencies between the leader and the worker (s).
constexpr double kMessageSlackS = 0.5;

bool CancelDeadlineHasPassed(SimulatedCluster& cluster, const ClientJob& job) {
  return job.told_cancelled_s > 0 &&
         cluster.now() >
             job.told_cancelled_s + cluster.settings().cancel_deadline_s;
}

}  // namespace

void CheckCancelledJobDoesNotStart(SimulatedCluster& cluster,
                                   const WorkerTask& task) {
  if (CancelDeadlineHasPassed(cluster, cluster.clients().Get(task.id.job)))
    cluster.ReportViolation("ran_cancelled: " + task.id.job + "/" +
                            std::to_string(task.id.task) + " starts");
}

void CheckCancelledJobHasStopped(SimulatedCluster& cluster,
                                 const Worker& worker, const WorkerTask& task) {
  if (CancelDeadlineHasPassed(cluster, cluster.clients().Get(task.id.job)))
    cluster.ReportViolation("ran_cancelled: " + task.id.job + " is still on " +
                            worker.name);
}

void CheckNoStartLongAfterCancellation(SimulatedCluster& cluster,
                                       const ClientJob& job) {
  // What the leader may not have known of yet: its look at the jobs may be so
  // old, and the answer on its way for so long.
  const double allowed_s =
      kDispatchMaxCacheAgeS + kHeartbeatAnswerTimeoutS + kMessageSlackS;
  if (cluster.now() > job.told_cancelled_s + allowed_s)
    cluster.ReportViolation("ran_cancelled: " + job.spec.id +
                            " is launched long after it was cancelled");
}

}  // namespace sorrelwood::test
