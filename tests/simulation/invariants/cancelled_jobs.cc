#include "base/constants/leader_election.h"
#include "simulation/invariants/invariants.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

// Allowance for the latency between leader and worker (s).
constexpr double kMessageSlackS = 0.5;

bool CancelDeadlineHasPassed(SimulatedCluster& cluster, const ClientJob& job) {
  return job.reported_cancelled_s > 0 &&
         cluster.now() >
             job.reported_cancelled_s + cluster.settings().cancel_deadline_s;
}

}  // namespace

void CheckCancelledJobDoesNotStart(SimulatedCluster& cluster,
                                   const WorkerTask& task) {
  if (CancelDeadlineHasPassed(cluster, cluster.clients().Get(task.id.job)))
    cluster.ReportViolation("cancelled job runs: " + task.id.job + "/" +
                            std::to_string(task.id.task) +
                            " starts after the deadline");
}

void CheckCancelledJobHasStopped(SimulatedCluster& cluster,
                                 const Worker& worker, const WorkerTask& task) {
  if (CancelDeadlineHasPassed(cluster, cluster.clients().Get(task.id.job)))
    cluster.ReportViolation("cancelled job runs: " + task.id.job +
                            " is still on " + worker.name);
}

void CheckNoStartLongAfterCancellation(SimulatedCluster& cluster,
                                       const ClientJob& job) {
  // The leader may not know of the cancellation yet: its view of the jobs may
  // be kDispatchMaxCacheAgeS old, and the heartbeat response with the command
  // may take until the time-out.
  const double allowed_s =
      kDispatchMaxCacheAgeS + kHeartbeatAnswerTimeoutS + kMessageSlackS;
  if (cluster.now() > job.reported_cancelled_s + allowed_s)
    cluster.ReportViolation(
        "cancelled job runs: " + job.spec.id +
        " is commanded to start long after its cancellation");
}

}  // namespace sorrelwood::test
