// Commits the end of jobs whose tasks are all done: in one transaction the live
// key goes and the final key comes.
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

  // All tasks of the job are done: its end is to be committed, in turn.
  void Enqueue(const std::string& id) { completed_jobs_.push_back(id); }
  // Commits as many ends as the write rate allows now.
  void CommitEnds();
  // The term has ended.
  void Clear() { completed_jobs_.clear(); }

 private:
  void Commit(Job* job);
  void OnCommitResult(const std::string& id, const StateResult& result);
  void ReadFinalState(const std::string& id);

  Context* context_;
  JobTable* jobs_;
  JobCache* job_cache_;
  StateWriter* writer_;
  std::deque<std::string> completed_jobs_;
};

}  // namespace sorrelwood
