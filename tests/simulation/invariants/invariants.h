// The invariants that are checked on events. A check reports a violation to the
// cluster and changes nothing else. invariant_checker.h declares those that are
// checked periodically.
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
struct ReportedState;
struct Worker;
struct WorkerTask;

// single_execution.cc: no task runs on two machines at once. A machine whose
// lease has expired counts as having stopped its tasks.
void CheckSingleExecution(SimulatedCluster& cluster, const Worker& worker,
                          const WorkerTask& task);

// placement_constraints.cc: a task runs only where its job allows: on a spot
// machine or not, in its zone, on its machine types, with all tasks in one
// zone, or with at most half of them in any zone.
void CheckPlacementConstraints(SimulatedCluster& cluster, const Worker& worker,
                               const WorkerTask& task);

// cancelled_jobs.cc: no task of a job starts or runs when
// ClusterSettings::cancel_deadline_s has passed since its cancellation was
// confirmed, and workers stop receiving commands to start it much sooner.
void CheckCancelledJobDoesNotStart(SimulatedCluster& cluster,
                                   const WorkerTask& task);
void CheckCancelledJobHasStopped(SimulatedCluster& cluster,
                                 const Worker& worker, const WorkerTask& task);
void CheckNoStartLongAfterCancellation(SimulatedCluster& cluster,
                                       const ClientJob& job);

// task_start.cc: all checks at the start of a task.
void CheckTaskMayStart(SimulatedCluster& cluster, const Worker& worker,
                       const WorkerTask& task);

// result_durability.cc: a worker is commanded to forget a result only after it
// was stored.
void CheckResultIsStoredBeforeForgotten(SimulatedCluster& cluster,
                                        const WorkerTask& task);

// provisioning.cc: a machine is provisioned only after its record was stored,
// so that the next leader finds it, and is released only by a leader that
// certainly holds its lease.
void CheckProvisioningIsRecorded(SimulatedCluster& cluster,
                                 const std::string& name);
void CheckLeaderMayRelease(SimulatedCluster& cluster, Controller& controller);

// state_limits.cc: transactions respect the limits of the state service, and a
// value that is refused as too large is not retried forever. `refusals` is the
// number of refusals of this value.
void CheckTransactionSize(SimulatedCluster& cluster,
                          const StateTransaction& transaction,
                          const StateLimits& limits);
void CheckRefusedValueIsGivenUp(SimulatedCluster& cluster,
                                const std::string& key, int refusals);

// message_size.cc: reports, responses to heartbeats and pushed commands stay
// within the bounds of the protocol. Returns whether the message does; the
// simulated worker neither sends nor reads a larger one.
bool CheckReportSize(SimulatedCluster& cluster, const Heartbeat& report);
bool CheckResponseSize(SimulatedCluster& cluster,
                       const HeartbeatResponse& response);
bool CheckPushSize(SimulatedCluster& cluster, const PushedCommands& push);

// client_answers.cc: the reported state of a job is correct, and a final state
// stays the same whichever controller reports it.
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
                           const ReportedState& reported);
void CheckDoneJobIsComplete(SimulatedCluster& cluster, const ClientJob& job);

}  // namespace sorrelwood::test
