#include "simulation/invariants/invariants.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

// Refusals of one value after which a writer should have given it up.
constexpr int kMaxRefusals = 8;
// Preconditions allowed for each change that a transaction may have.
constexpr size_t kPreconditionsPerChange = 4;

}  // namespace

void CheckTransactionSize(SimulatedCluster& cluster,
                          const StateTransaction& transaction,
                          const StateLimits& limits) {
  const auto max_changes =
      static_cast<size_t>(limits.max_mutations_per_transaction);
  if (transaction.mutations.size() > max_changes ||
      transaction.preconditions.size() > kPreconditionsPerChange * max_changes)
    cluster.ReportViolation("a transaction over the state service's limits");
}

void CheckRefusedValueIsGivenUp(SimulatedCluster& cluster,
                                const std::string& key, int refusals) {
  if (refusals == kMaxRefusals)  // reported once
    cluster.ReportViolation(
        "a value that is never taken is tried again and again: " + key);
}

}  // namespace sorrelwood::test
