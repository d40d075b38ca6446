// Quorum reads for polls. Another controller may have reported a later state of
// the job than this controller's cache holds, so the state service confirms
// that the job is still live before a poll is answered from the cache. Polls
// share these reads.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/api/job_responses.h"
#include "core/api/pending_requests.h"
#include "core/coordination/job_cache.h"
#include "core/coordination/state_limits.h"
#include "core/engine/context.h"
#include "core/model/settings.h"

namespace sorrelwood {

class QuorumReads {
 public:
  // All arguments must outlive this object.
  QuorumReads(Context* context, JobCache* job_cache,
              const StateLimitTracker* limits, PendingRequests* pending,
              JobResponses* responses, const ClusterSettings* settings);

  // Adds a poll for a job that is live in the cache; it is answered after one
  // of the next reads.
  void AddPoll(uint64_t request, const std::string& id);

  // Sends the next read when it is due.
  void Tick();

 private:
  struct PendingPoll {
    uint64_t request = 0;
    std::string id;
  };
  // The polls of one read, and the preconditions that their jobs are live.
  struct Batch {
    std::vector<PendingPoll> polls;
    std::vector<Precondition> preconditions;
  };

  // Removes and returns as many pending polls as one transaction may cover.
  // Answers polls for jobs that the cache no longer lists as live.
  Batch TakeBatch();
  // Answers a poll for a job that the cache no longer lists as live.
  void AnswerEndedJob(const PendingPoll& poll);
  void SendBatch();
  void OnBatchResult(const std::vector<PendingPoll>& polls,
                     const StateResult& result);

  Context* context_;
  JobCache* job_cache_;
  const StateLimitTracker* limits_;
  PendingRequests* pending_;
  JobResponses* responses_;
  const double interval_s_;
  std::vector<PendingPoll> pending_polls_;
  double next_send_at_ = 0;  // steady clock, s
  int reads_in_flight_ = 0;
};

}  // namespace sorrelwood
