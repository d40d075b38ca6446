// Handles the users' requests: submissions, polls and cancellations of jobs.
// Every controller answers them through the state service, whether or not it is
// the leader.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/api/job_lookup.h"
#include "core/api/job_responses.h"
#include "core/api/lookup_quota.h"
#include "core/api/pending_requests.h"
#include "core/api/quorum_reads.h"
#include "core/api/submission_rules.h"
#include "core/coordination/job_cache.h"
#include "core/coordination/state_limits.h"
#include "core/engine/context.h"

namespace sorrelwood {

// Each request gets exactly one answer, a ClientResponse with the number of the
// request. Any request may be answered 429 (load shedding) or 503 (the state
// service has not confirmed the result). Both carry Retry-After, and the client
// may repeat the request unchanged.
class JobApi {
 public:
  // All arguments must outlive this object.
  JobApi(Context* context, JobCache* job_cache, const StateLimitTracker* limits,
         const ClusterSettings* settings);
  // Not copyable: the members hold pointers to each other.
  JobApi(const JobApi&) = delete;
  JobApi& operator=(const JobApi&) = delete;

  // Sets the machine types of the cloud's catalogue. Submissions are answered
  // 503 until the types are known.
  void UpdateCatalog(const std::vector<MachineType>& types) {
    rules_.UpdateCatalog(types);
  }

  // Called periodically: answers requests that have timed out (503), and sends
  // the quorum reads that are due.
  void Tick();

  // Answers 201 once the job is recorded, 422 if it can never run, and 400 if
  // it is too large to be stored. Idempotent: if a job with this id was
  // accepted before, the answer is 200 with that job's state, even if the rest
  // of the submission differs.
  void Submit(uint64_t request, const JobSpec& spec);

  // Answers 200 with the job's state, or 404 if there is no such job. The state
  // is never older than what any controller has reported before.
  void Poll(uint64_t request, const std::string& id);

  // Answers 200 with the job's state once the cancellation is recorded or if
  // the job has already ended, and 404 if there is no such job.
  void Cancel(uint64_t request, const std::string& id);

 private:
  // Admits a poll or cancellation and answers it if that is possible without
  // the state service: too many pending requests, an invalid job id, or a job
  // that is known to have ended. True if the request is still pending.
  bool AdmitOrAnswerLocally(uint64_t request, RequestKind kind,
                            const std::string& id);

  void RecordSubmission(uint64_t request, std::shared_ptr<const LiveJob> job);
  void OnSubmissionRecorded(uint64_t request,
                            const std::shared_ptr<const LiveJob>& job,
                            const StateResult& result);
  // Rejects a submission unless its job was accepted before, possibly under
  // other machine types or limits.
  void RejectUnlessAlreadyAccepted(uint64_t request, const std::string& id,
                                   int status, const std::string& reason);
  // Answers a repeated submission with the state of its job, or calls
  // `on_unknown_job` if no such job has been accepted.
  void AnswerIfAlreadyAccepted(uint64_t request, const std::string& id,
                               std::function<void()> on_unknown_job);
  // Cancels a job, which must be live in the cache.
  void CancelLiveJob(uint64_t request, const std::string& id);

  Context* context_;
  JobCache* job_cache_;
  const StateLimitTracker* limits_;
  PendingRequests pending_;
  JobLookup lookup_;
  JobResponses responses_;
  QuorumReads quorum_reads_;
  LookupQuota lookup_quota_;
  SubmissionRules rules_;
};

}  // namespace sorrelwood
