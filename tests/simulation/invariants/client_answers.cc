#include "simulation/invariants/invariants.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusCreated = 201;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnprocessable = 422;

// An answer to a request that was sent earlier may be older than what the
// client was told meanwhile.
bool SentAfter(const ClientRequest& request, double time_s) {
  return time_s > 0 && request.sent_s > time_s;
}

}  // namespace

void CheckUnknownJobIsNotServed(SimulatedCluster& cluster,
                                const ClientRequest& request,
                                const ClientResponse& response) {
  const bool submission = request.kind == ClientRequest::Kind::kSubmit;
  if (submission &&
      (response.status == kStatusOk || response.status == kStatusCreated))
    cluster.ReportViolation("accepted though it can't run: " + request.job);
  if (!submission && response.status == kStatusOk)
    cluster.ReportViolation("invented: " + request.job);
}

void CheckAcceptedJobIsNotRefused(SimulatedCluster& cluster,
                                  const ClientJob& job,
                                  const ClientRequest& request,
                                  const ClientResponse& response) {
  if (!job.accepted) return;
  if (response.status == kStatusNotFound && request.sent_s > job.accepted_s)
    cluster.ReportViolation("forgotten: " + job.spec.id +
                            " was accepted and got 404");
  if (response.status == kStatusBadRequest ||
      response.status == kStatusUnprocessable)
    cluster.ReportViolation("forgotten: " + job.spec.id +
                            " was accepted and refused later");
}

void CheckJobIsAcceptedOnce(SimulatedCluster& cluster, const ClientJob& job,
                            const ClientRequest& request,
                            const ClientResponse& response) {
  if (response.status == kStatusCreated && job.accepted &&
      request.sent_s > job.accepted_s)
    cluster.ReportViolation("forgotten: " + job.spec.id +
                            " is accepted a second time");
  if (!job.submitted) cluster.ReportViolation("invented: " + job.spec.id);
}

void CheckFinalStateIsKept(SimulatedCluster& cluster, const ClientJob& job,
                           const ClientRequest& request,
                           const ClientResponse& response,
                           const ToldState& told) {
  if ((SentAfter(request, job.told_done_s) && !told.done) ||
      (SentAfter(request, job.told_cancelled_s) && !told.cancelled))
    cluster.ReportViolation("went_back: " + job.spec.id + " is now " +
                            response.body);
  if (told.cancelled && !job.cancel_requested)
    cluster.ReportViolation("went_back: " + job.spec.id +
                            " was not cancelled by its user");
}

void CheckDoneJobIsComplete(SimulatedCluster& cluster, const ClientJob& job) {
  if (job.completed.size() < job.spec.tasks || job.spec.IsService())
    cluster.ReportViolation("not_done: " + job.spec.id + " has tasks left");
}

}  // namespace sorrelwood::test
