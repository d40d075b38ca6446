#include "simulation/invariants/invariants.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

// Number of refusals of the same value that is reported as endless retries.
constexpr int kMaxRefusals = 8;
// A transaction may have this multiple of its allowed changes as preconditions.
constexpr size_t kPreconditionsPerChange = 4;

}  // namespace

void CheckTransactionSize(SimulatedCluster& cluster,
                          const StateTransaction& transaction,
                          const StateLimits& limits) {
  const auto max_changes =
      static_cast<size_t>(limits.max_mutations_per_transaction);
  if (transaction.mutations.size() > max_changes ||
      transaction.preconditions.size() > kPreconditionsPerChange * max_changes)
    cluster.ReportViolation(
        "a transaction exceeds the limits of the state service");
}

void CheckRefusedValueIsGivenUp(SimulatedCluster& cluster,
                                const std::string& key, int refusals) {
  if (refusals == kMaxRefusals)  // reported once
    cluster.ReportViolation(
        "a value that is refused as too large is retried without end: " + key);
}

}  // namespace sorrelwood::test
