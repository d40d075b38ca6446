#include "core/jobs/job_queue.h"

#include <algorithm>

namespace sorrelwood {

bool QueueOrder::operator()(const Job* a, const Job* b) const {
  const QueuePosition& left = a->queue_position;
  const QueuePosition& right = b->queue_position;
  // Starving jobs first: no other criterion may hold them back any longer.
  if (left.starving != right.starving) return left.starving;
  // Then services: there are few, and each second without a replica counts.
  if (a->spec().IsService() != b->spec().IsService())
    return a->spec().IsService();
  // Jobs within their team's guarantee: they must not wait for other teams.
  if (left.within_guarantee != right.within_guarantee)
    return left.within_guarantee;
  // Jobs of the more urgent priority class.
  if (a->spec().priority != b->spec().priority)
    return a->spec().priority > b->spec().priority;
  // Jobs that can still meet an objective before those that can't.
  if (left.late != right.late) return right.late;
  // Jobs of the team that needs the longest time to run its backlog at its
  // quota.
  if (left.team_backlog_s != right.team_backlog_s)
    return left.team_backlog_s > right.team_backlog_s;
  // Smaller jobs, in powers of two: more jobs finish early.
  if (left.size_class != right.size_class)
    return left.size_class < right.size_class;
  // Earlier submissions.
  if (a->record->submitted_wall_s != b->record->submitted_wall_s)
    return a->record->submitted_wall_s < b->record->submitted_wall_s;
  // The id as the last criterion makes the order the same on all controllers.
  return a->id() < b->id();
}

void JobQueue::Clear() {
  sorted_.clear();
  services_.clear();
  stale_ = true;
}

const std::vector<Job*>& JobQueue::Sorted(const JobMap& jobs) {
  if (!stale_) return sorted_;
  sorted_.clear();
  for (const auto& [id, job] : jobs) sorted_.push_back(job.get());
  std::sort(sorted_.begin(), sorted_.end(), QueueOrder());
  services_.clear();
  for (Job* job : sorted_)
    if (job->spec().IsService()) services_.push_back(job);
  stale_ = false;
  return sorted_;
}

const std::vector<Job*>& JobQueue::Services(const JobMap& jobs) {
  Sorted(jobs);
  return services_;
}

}  // namespace sorrelwood
