// The order in which unfinished jobs are considered for placement.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/jobs/job.h"

namespace sorrelwood {

// Strict weak ordering of jobs: the first criterion in which two jobs differ
// decides. The criteria stand in this order in the definition, each with its
// reason.
struct QueueOrder {
  bool operator()(const Job* a, const Job* b) const;
};

// Unfinished jobs by id.
using JobMap = std::map<std::string, std::unique_ptr<Job>>;

// A sorted view of the jobs, built when it is asked for and kept until it is
// invalidated.
class JobQueue {
 public:
  // Jobs were added, removed or ranked anew.
  void Invalidate() { stale_ = true; }
  // There are no jobs any more: drops the pointers to them.
  void Clear();
  // All jobs in QueueOrder. Valid until the jobs change.
  const std::vector<Job*>& Sorted(const JobMap& jobs);
  // The services among them, in the same order.
  const std::vector<Job*>& Services(const JobMap& jobs);

 private:
  std::vector<Job*> sorted_, services_;
  bool stale_ = true;
};

}  // namespace sorrelwood
