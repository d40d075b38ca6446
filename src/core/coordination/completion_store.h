// The stored completion records: which tasks of unfinished jobs are done. A new
// leader reads them; the leader writes them in batches while tasks complete and
// removes them when the job ends.
//
// The tasks of a job are split into chunks of kTasksPerCompletionRecord, with
// one key per chunk. If the bits of a chunk exceed the value limit, the chunk
// is split into parts with one key each. Versions that support only whole
// chunks ignore parts.
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

// Encodes the tasks in [begin, end) as hexadecimal digits of four tasks each,
// the first task in the lowest bit.
std::string EncodeCompletionBits(const IntervalSet& tasks, uint32_t begin,
                                 uint32_t end);
// Adds the tasks whose bits are set in `hex`. The first bit stands for task
// `begin`; tasks from `task_count` on are ignored.
void DecodeCompletionBits(const std::string& hex, uint32_t begin,
                          uint32_t task_count, IntervalSet* tasks);

class CompletionStore {
 public:
  CompletionStore(JobTable* jobs, StateWriter* writer,
                  const StateLimitTracker* limits)
      : jobs_(jobs), writer_(writer), limits_(limits) {}

  // Reads the listing of all completion records.
  void Load(const StateResult& listing);
  // Marks the job's tasks that the listing contains as done and committed.
  void Restore(Job* job) const;
  // Discards the loaded tasks and removes the records of jobs that have ended.
  void FinishLoading();

  // Called when a task of the job has completed: the next Write() stores it.
  void MarkDirty(const std::string& job_id) { dirty_jobs_.insert(job_id); }
  // Passes the tasks completed since the last call to the state writer.
  void Write();
  // Removes the records of a job that has ended.
  void Remove(const std::string& job_id);
  void Clear();

 private:
  void WriteChunk(Job* job, uint32_t begin, uint32_t end);
  void WriteTasks(Job* job, const std::string& key, uint32_t begin,
                  uint32_t end, bool is_part);
  // The tasks in [begin, end) that are done.
  static IntervalSet DoneWithin(const Job& job, uint32_t begin, uint32_t end);
  static bool AllCommitted(const Job& job, const IntervalSet& tasks);
  // How many tasks one part may hold under the current value limit.
  uint32_t TasksPerPart() const;

  JobTable* jobs_;
  StateWriter* writer_;
  const StateLimitTracker* limits_;
  std::map<std::string, IntervalSet> loaded_tasks_;  // by job id
  // The keys that Remove() deletes, by job id.
  std::map<std::string, std::set<std::string>> stored_keys_;
  std::set<std::string> dirty_jobs_;  // job ids
};

}  // namespace sorrelwood
