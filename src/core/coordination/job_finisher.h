// Commits the end of jobs whose tasks are all done: one transaction removes the
// live key and writes the final key.
#pragma once

#include <deque>
#include <string>

#include "core/coordination/job_cache.h"
#include "core/coordination/state_writer.h"
#include "core/engine/context.h"
#include "core/jobs/job_table.h"

namespace sorrelwood {

class JobFinisher {
 public:
  JobFinisher(Context* context, JobTable* jobs, JobCache* job_cache,
              StateWriter* writer)
      : context_(context),
        jobs_(jobs),
        job_cache_(job_cache),
        writer_(writer) {}

  // Queues the end of a job whose tasks are all done.
  void Enqueue(const std::string& id) { completed_job_ids_.push_back(id); }
  // Commits as many job ends as the write rate currently allows.
  void CommitJobEnds();
  // Called when the term has ended.
  void Clear() { completed_job_ids_.clear(); }

 private:
  void CommitJobEnd(Job* job);
  void OnCommitResult(const std::string& id, const StateResult& result);
  void ReadFinalState(const std::string& id);

  Context* context_;
  JobTable* jobs_;
  JobCache* job_cache_;
  StateWriter* writer_;
  std::deque<std::string> completed_job_ids_;
};

}  // namespace sorrelwood
