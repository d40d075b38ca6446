#include <algorithm>

#include "simulation/invariants/invariant_checker.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

// Clients ask far more often (s).
constexpr double kMaxSilenceS = 75;

}  // namespace

void CheckAcceptedJobsAreAnswered(SimulatedCluster& cluster) {
  if (cluster.NetworkIsUnusable()) return;
  for (const auto& [id, job] : cluster.clients().all()) {
    if (!job->accepted) continue;
    const double silent_since_s =
        std::max({job->last_answer_s, cluster.faults_end_s(), job->accepted_s});
    if (cluster.now() - silent_since_s <= kMaxSilenceS) continue;
    cluster.ReportViolation("forgotten: no question about " + id +
                            " is answered");
    job->last_answer_s = cluster.now();  // reported once in that time
  }
}

}  // namespace sorrelwood::test
