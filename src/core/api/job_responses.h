// Answers users' requests with the state of a job.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/api/job_lookup.h"
#include "core/api/pending_requests.h"
#include "core/coordination/job_cache.h"

namespace sorrelwood {

class JobResponses {
 public:
  // All arguments must outlive this object.
  JobResponses(PendingRequests* pending, JobCache* job_cache, JobLookup* lookup)
      : pending_(pending), job_cache_(job_cache), lookup_(lookup) {}

  // Answers 200 with the job's state from the cache. The caller must ensure
  // that the cache is not older than what another controller may have reported.
  void AnswerFromCache(uint64_t request, const std::string& id);

  // Answers 404.
  void AnswerUnknownJob(uint64_t request);

  // For a job that is no longer live: reads its final state once for all
  // requests and answers each with 200, or with 503 if the state cannot be
  // read.
  void AnswerEndedJob(StateConnection connection,
                      std::vector<uint64_t> requests, const std::string& id);

 private:
  PendingRequests* pending_;
  JobCache* job_cache_;
  JobLookup* lookup_;
};

}  // namespace sorrelwood
