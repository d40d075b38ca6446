#include "simulation/invariants/invariants.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusCreated = 201;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnprocessable = 422;

// Whether the request was sent after `time_s` (0: never). Only then must its
// response include what was reported at `time_s`.
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
    cluster.ReportViolation("a job that cannot run was accepted: " +
                            request.job);
  if (!submission && response.status == kStatusOk)
    cluster.ReportViolation("a job that was never submitted is reported: " +
                            request.job);
}

void CheckAcceptedJobIsNotRefused(SimulatedCluster& cluster,
                                  const ClientJob& job,
                                  const ClientRequest& request,
                                  const ClientResponse& response) {
  if (!job.accepted) return;
  if (response.status == kStatusNotFound && request.sent_s > job.accepted_s)
    cluster.ReportViolation("lost job: " + job.spec.id +
                            " was accepted and later answered with 404");
  if (response.status == kStatusBadRequest ||
      response.status == kStatusUnprocessable)
    cluster.ReportViolation("lost job: " + job.spec.id +
                            " was accepted and later refused");
}

void CheckJobIsAcceptedOnce(SimulatedCluster& cluster, const ClientJob& job,
                            const ClientRequest& request,
                            const ClientResponse& response) {
  if (response.status == kStatusCreated && job.accepted &&
      request.sent_s > job.accepted_s)
    cluster.ReportViolation("lost job: " + job.spec.id +
                            " was accepted a second time");
  if (!job.submitted)
    cluster.ReportViolation("a job that was never submitted was accepted: " +
                            job.spec.id);
}

void CheckFinalStateIsKept(SimulatedCluster& cluster, const ClientJob& job,
                           const ClientRequest& request,
                           const ClientResponse& response,
                           const ReportedState& reported) {
  if ((SentAfter(request, job.reported_done_s) && !reported.done) ||
      (SentAfter(request, job.reported_cancelled_s) && !reported.cancelled))
    cluster.ReportViolation("final state changed: " + job.spec.id + " is now " +
                            response.body);
  if (reported.cancelled && !job.cancel_requested)
    cluster.ReportViolation("wrong final state: " + job.spec.id +
                            " is cancelled without a request of its client");
}

void CheckDoneJobIsComplete(SimulatedCluster& cluster, const ClientJob& job) {
  if (job.completed.size() < job.spec.tasks || job.spec.IsService())
    cluster.ReportViolation("reported done too early: " + job.spec.id +
                            " has unfinished tasks or is a service");
}

}  // namespace sorrelwood::test
