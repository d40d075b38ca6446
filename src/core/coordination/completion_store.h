// The stored record of which tasks of unfinished jobs are done: read by a new
// leader, written in batches while tasks complete, removed when the job ends.
//
// The tasks of a job are cut into chunks of kTasksPerCompletionRecord, a key
// each. Where a chunk's bits are more than a value may hold, parts of it have
// keys of their own. A version that knows whole chunks only passes over parts.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/interval_set.h"
#include "core/coordination/state_limits.h"
#include "core/coordination/state_writer.h"
#include "core/jobs/job_table.h"

namespace sorrelwood {

// The bits of tasks `begin` up to `end`, as hexadecimal digits of four tasks
// each, the first task in the lowest bit.
std::string EncodeCompletionBits(const IntervalSet& tasks, uint32_t begin,
                                 uint32_t end);
// Adds the tasks that `hex` names, from task `begin` on and below `task_count`.
void DecodeCompletionBits(const std::string& hex, uint32_t begin,
                          uint32_t task_count, IntervalSet* tasks);

class CompletionStore {
 public:
  CompletionStore(JobTable* jobs, StateWriter* writer,
                  const StateLimitTracker* limits)
      : jobs_(jobs), writer_(writer), limits_(limits) {}

  // Takes the listing of all progress records.
  void Load(const StateResult& listing);
  // Marks what the listing says of the job as done and written.
  void Restore(Job* job) const;
  // Forgets the listing, and removes the records of jobs that have ended.
  void FinishLoading();

  // A task of the job has completed and is to be written.
  void MarkDirty(const std::string& job) { dirty_jobs_.insert(job); }
  // Hands the writer what has completed since the last call.
  void Write();
  // The job has ended: its records go.
  void Remove(const std::string& job);
  void Clear();

 private:
  void WriteChunk(Job* job, uint32_t begin, uint32_t end);
  void WriteRange(Job* job, const std::string& key, uint32_t begin,
                  uint32_t end, bool part);
  // Tasks from `begin` up to `end` that are done.
  static IntervalSet DoneWithin(const Job& job, uint32_t begin, uint32_t end);
  static bool AllCommitted(const Job& job, const IntervalSet& tasks);
  // Tasks that one part may name under the limits of now.
  uint32_t TasksPerPart() const;

  JobTable* jobs_;
  StateWriter* writer_;
  const StateLimitTracker* limits_;
  std::map<std::string, IntervalSet> loaded_;            // by job
  std::map<std::string, std::set<std::string>> stored_;  // keys, by job
  std::set<std::string> dirty_jobs_;                     // jobs
};

}  // namespace sorrelwood
