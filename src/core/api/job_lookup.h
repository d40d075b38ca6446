// Reads of a single job from the state service, which sees every committed
// write. What is read goes into the job cache.
#pragma once

#include <functional>
#include <string>

#include "core/coordination/job_cache.h"
#include "core/engine/context.h"

namespace sorrelwood {

// Where the state service has a job.
enum class JobLocation {
  kLive,
  kFinal,    // it has ended
  kNowhere,  // no such job was accepted
  kNoAnswer,
};

class JobLookup {
 public:
  using Callback = std::function<void(JobLocation)>;

  // Both must outlive this object.
  JobLookup(Context* context, JobCache* job_cache)
      : context_(context), job_cache_(job_cache) {}

  // Reads the live record and, if there is none, the final one: a job moves
  // from the first to the second, so this order misses none.
  void Find(StateConnection connection, const std::string& id, Callback found);

  // The final record alone, of a job that is known to be live no more.
  void FindFinal(StateConnection connection, const std::string& id,
                 Callback found);

 private:
  Context* context_;
  JobCache* job_cache_;
};

}  // namespace sorrelwood
