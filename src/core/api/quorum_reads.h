// Quorum reads for polls: another controller may have told a later state of the
// job than this one's cache has, so the state service is asked before an answer
// from the cache. Polls share these reads.
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
  // All must outlive this object.
  QuorumReads(Context* context, JobCache* job_cache,
              const StateLimitTracker* limits, PendingRequests* pending,
              JobResponses* responses, const ClusterSettings* settings);

  // Answers the poll for a job that is live in the cache with the next read.
  void Add(uint64_t request, const std::string& id);

  // Sends the next read when it is due.
  void Tick();

 private:
  struct WaitingPoll {
    uint64_t request = 0;
    std::string id;
  };
  // The polls of one read, with the preconditions that their jobs are live.
  struct Batch {
    std::vector<WaitingPoll> polls;
    std::vector<Precondition> preconditions;
  };

  // As many of the waiting polls as one transaction may hold.
  Batch TakeBatch();
  void Send();
  void OnResult(const std::vector<WaitingPoll>& polls,
                const StateResult& result);

  Context* context_;
  JobCache* job_cache_;
  const StateLimitTracker* limits_;
  PendingRequests* pending_;
  JobResponses* responses_;
  const double interval_s_;
  std::vector<WaitingPoll> waiting_;
  double next_send_at_ = 0;  // steady clock, s
  int in_flight_ = 0;
};

}  // namespace sorrelwood
