// The order in which unfinished jobs are considered for placement.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/jobs/job.h"

namespace sorrelwood {

// Strict weak ordering of jobs: the first criterion in which two jobs differ
// decides. The definition lists the criteria in this order.
struct QueueOrder {
  bool operator()(const Job* a, const Job* b) const;
};

// Unfinished jobs by id.
using JobMap = std::map<std::string, std::unique_ptr<Job>>;

// A sorted view of the jobs. It is built on request and kept until invalidated.
class JobQueue {
 public:
  // Must be called after jobs were added, removed or ranked again.
  void Invalidate() { stale_ = true; }
  // Drops the pointers to all jobs. Called when the jobs are deleted.
  void Clear();
  // Returns all jobs in QueueOrder. Valid until the jobs change.
  const std::vector<Job*>& Sorted(const JobMap& jobs);
  // Returns the services among the jobs, in the same order.
  const std::vector<Job*>& Services(const JobMap& jobs);

 private:
  std::vector<Job*> sorted_, services_;
  bool stale_ = true;
};

}  // namespace sorrelwood
