// The answers to users that tell the state of a job.
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
  // All must outlive this object.
  JobResponses(PendingRequests* pending, JobCache* job_cache, JobLookup* lookup)
      : pending_(pending), job_cache_(job_cache), lookup_(lookup) {}

  // 200: the job as the cache has it. Whoever calls has made sure that the
  // cache is not behind what another controller may have told before.
  void AnswerFromCache(uint64_t request, const std::string& id);

  // 404
  void AnswerUnknownJob(uint64_t request);

  // The job is live no more: reads how it ended, once for all requests, and
  // tells each (200, or 503 if that cannot be read).
  void AnswerEnded(StateConnection connection, std::vector<uint64_t> requests,
                   const std::string& id);

 private:
  PendingRequests* pending_;
  JobCache* job_cache_;
  JobLookup* lookup_;
};

}  // namespace sorrelwood
