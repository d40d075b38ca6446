// The users' requests: submissions, polls and cancellations of jobs. Every
// controller answers them by itself through the state service, whether or not
// it leads.
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

// Each request gets one answer, a ClientResponse with its number. In all of
// them 429 means load shedding, and 503 that the state service has not
// confirmed anything: both come with Retry-After, and the request may be
// repeated as it is.
class JobApi {
 public:
  // All must outlive this object.
  JobApi(Context* context, JobCache* job_cache, const StateLimitTracker* limits,
         const ClusterSettings* settings);
  // The parts point to each other.
  JobApi(const JobApi&) = delete;
  JobApi& operator=(const JobApi&) = delete;

  // The cloud's catalogue was read. Submissions are answered 503 before the
  // first one.
  void UpdateCatalog(const std::vector<MachineType>& types) {
    rules_.UpdateCatalog(types);
  }

  // Called often: answers requests that have waited too long (503), and sends
  // the quorum reads that are due.
  void Tick();

  // 201 once the job is recorded. Idempotent: a submission of an id that was
  // accepted before gets 200 and the job's state, whatever else it says. 422:
  // the job can never run; 400: it is too large to be stored.
  void Submit(uint64_t request, const JobSpec& spec);

  // 200 and the job's state, which is never behind what any controller told
  // before; 404 if there is no such job.
  void Poll(uint64_t request, const std::string& id);

  // 200 and the job's state once the cancellation is recorded, or if the job
  // has ended; 404 if there is no such job.
  void Cancel(uint64_t request, const std::string& id);

 private:
  // Answers what can be answered without the state service: too many requests,
  // ids that no job can have, and jobs that have ended. True if the request
  // still waits.
  bool Begin(uint64_t request, RequestKind kind, const std::string& id);

  void Record(uint64_t request, std::shared_ptr<const LiveJob> job);
  void OnRecorded(uint64_t request, const std::shared_ptr<const LiveJob>& job,
                  const StateResult& result);
  // Rejects a submission, unless it is an idempotent request: the job may have
  // been accepted under other machine types or limits.
  void RejectUnlessAccepted(uint64_t request, const std::string& id, int status,
                            const std::string& why);
  // Answers an idempotent request; `if_unknown` is called if no such job has
  // been accepted.
  void AnswerIfAccepted(uint64_t request, const std::string& id,
                        std::function<void()> if_unknown);
  // The job must be live in the cache.
  void CancelLive(uint64_t request, const std::string& id);

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
