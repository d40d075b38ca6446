// The invariants that are checked when something happens. Each reports a
// violation to the cluster; none changes anything. Every rule stands in the
// file of its name. Those that are checked as time passes: invariant_checker.h.
#pragma once

#include <string>

#include "core/engine/actions.h"
#include "core/model/settings.h"

namespace sorrelwood {
class Controller;
}  // namespace sorrelwood

namespace sorrelwood::test {

class SimulatedCluster;
struct ClientJob;
struct ClientRequest;
struct ToldState;
struct Worker;
struct WorkerTask;

// single_execution.cc: no task runs on two machines at once, where a machine
// whose lease has run out counts as having stopped.
void CheckSingleExecution(SimulatedCluster& cluster, const Worker& worker,
                          const WorkerTask& task);

// placement_constraints.cc: a task runs only where its job allows: on spot
// machines, in its zone, on its machine types, all tasks in one zone, or at
// most half of them in any zone.
void CheckPlacementConstraints(SimulatedCluster& cluster, const Worker& worker,
                               const WorkerTask& task);

// cancelled_jobs.cc: once a cancellation was confirmed for longer than
// ClusterSettings::cancel_deadline_s nothing of the job starts or runs, and
// commands to start it stop much sooner.
void CheckCancelledJobDoesNotStart(SimulatedCluster& cluster,
                                   const WorkerTask& task);
void CheckCancelledJobHasStopped(SimulatedCluster& cluster,
                                 const Worker& worker, const WorkerTask& task);
void CheckNoStartLongAfterCancellation(SimulatedCluster& cluster,
                                       const ClientJob& job);

// All rules about the start of a task.
void CheckTaskMayStart(SimulatedCluster& cluster, const Worker& worker,
                       const WorkerTask& task);

// result_durability.cc: a worker may forget a result only when it is stored.
void CheckResultIsStoredBeforeForgotten(SimulatedCluster& cluster,
                                        const WorkerTask& task);

// provisioning.cc: a machine is provisioned only under a stored record, so that
// it is found again, and released only by a leader whose lease is certain.
void CheckProvisioningIsRecorded(SimulatedCluster& cluster,
                                 const std::string& name);
void CheckLeaderMayRelease(SimulatedCluster& cluster, Controller& controller);

// state_limits.cc: transactions keep to the state service's limits, and a value
// that was refused as too large is not tried for ever. `refusals` counts those
// of the same value.
void CheckTransactionSize(SimulatedCluster& cluster,
                          const StateTransaction& transaction,
                          const StateLimits& limits);
void CheckRefusedValueIsGivenUp(SimulatedCluster& cluster,
                                const std::string& key, int refusals);

// client_answers.cc: what clients are told of a job is true, and stays true
// whichever controller tells it.
void CheckUnknownJobIsNotServed(SimulatedCluster& cluster,
                                const ClientRequest& request,
                                const ClientResponse& response);
void CheckAcceptedJobIsNotRefused(SimulatedCluster& cluster,
                                  const ClientJob& job,
                                  const ClientRequest& request,
                                  const ClientResponse& response);
void CheckJobIsAcceptedOnce(SimulatedCluster& cluster, const ClientJob& job,
                            const ClientRequest& request,
                            const ClientResponse& response);
void CheckFinalStateIsKept(SimulatedCluster& cluster, const ClientJob& job,
                           const ClientRequest& request,
                           const ClientResponse& response,
                           const ToldState& told);
void CheckDoneJobIsComplete(SimulatedCluster& cluster, const ClientJob& job);

}  // namespace sorrelwood::test
