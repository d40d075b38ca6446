#include "core/controller/controller.h"
#include "simulation/invariants/invariants.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {

void CheckProvisioningIsRecorded(SimulatedCluster& cluster,
                                 const std::string& name) {
  // A request that is carried out late may outlive its record.
  const SimulationOptions& options = cluster.options();
  if (options.late_probability != 0 || options.duplicate_probability != 0)
    return;
  if (!cluster.state_service().HasProvisioningRecord(name))
    cluster.ReportViolation("a rental without a record: " + name);
}

void CheckLeaderMayRelease(SimulatedCluster& cluster, Controller& controller) {
  if (!controller.CollectStatistics().may_dispatch)
    cluster.ReportViolation(
        "a leader whose lease is in doubt returns machines");
}

}  // namespace sorrelwood::test
