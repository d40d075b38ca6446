// Reads single jobs from the state service, with every committed write visible,
// and stores the results in the job cache.
#pragma once

#include <functional>
#include <string>

#include "core/coordination/job_cache.h"
#include "core/engine/context.h"

namespace sorrelwood {

// The kind of record that the state service holds for a job.
enum class JobLocation {
  kLive,         // the job is in the cache, unless its record is unreadable
  kFinal,        // the job has ended
  kNotFound,     // no such job was accepted
  kUnavailable,  // no valid answer from the state service
};

class JobLookup {
 public:
  using Callback = std::function<void(JobLocation)>;

  // Both arguments must outlive this object.
  JobLookup(Context* context, JobCache* job_cache)
      : context_(context), job_cache_(job_cache) {}

  // Reads the live record and, if there is none, the final one. A job moves
  // from live to final, so no job is missed in this order. The final record is
  // also read if the job has ended since the live one was read.
  void Find(StateConnection connection, const std::string& id,
            Callback on_located);

  // Reads only the final record, for a job that is known to be no longer live.
  void FindFinal(StateConnection connection, const std::string& id,
                 Callback on_located);

 private:
  void OnLiveRecordRead(StateConnection connection, const std::string& id,
                        const KeyValue& record, const Callback& on_located);

  Context* context_;
  JobCache* job_cache_;
};

}  // namespace sorrelwood
