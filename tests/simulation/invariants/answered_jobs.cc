#include <algorithm>

#include "simulation/invariants/invariant_checker.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

// The longest time without a successful response about a job (s). Clients poll
// at least every 15 s.
constexpr double kMaxSilenceS = 75;

}  // namespace

void CheckAcceptedJobsAreAnswered(SimulatedCluster& cluster) {
  if (cluster.NetworkIsUnusable()) return;
  for (const auto& [id, job] : cluster.clients().all()) {
    if (!job->accepted) continue;
    const double silent_since_s =
        std::max({job->last_answer_s, cluster.faults_end_s(), job->accepted_s});
    if (cluster.now() - silent_since_s <= kMaxSilenceS) continue;
    cluster.ReportViolation(
        "no request about the accepted job " + id + " has been answered for " +
        std::to_string(static_cast<int>(kMaxSilenceS)) + " s");
    // The next report follows after another kMaxSilenceS at the earliest.
    job->last_answer_s = cluster.now();
  }
}

}  // namespace sorrelwood::test
