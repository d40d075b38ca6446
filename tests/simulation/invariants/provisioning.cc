#include "core/controller/controller.h"
#include "simulation/invariants/invariants.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {

void CheckProvisioningIsRecorded(SimulatedCluster& cluster,
                                 const std::string& name) {
  // A late or duplicated request may be executed after its record was removed.
  const SimulationOptions& options = cluster.options();
  if (options.late_probability != 0 || options.duplicate_probability != 0)
    return;
  if (!cluster.state_service().HasProvisioningRecord(name))
    cluster.ReportViolation(
        "machines were provisioned without a stored record: " + name);
}

void CheckLeaderMayRelease(SimulatedCluster& cluster, Controller& controller) {
  if (!controller.CollectStatistics().may_dispatch)
    cluster.ReportViolation(
        "a leader that may have lost its lease releases machines");
}

}  // namespace sorrelwood::test
