#include "core/jobs/job_queue.h"

#include <algorithm>

namespace sorrelwood {

bool QueueOrder::operator()(const Job* a, const Job* b) const {
  const QueuePosition& left = a->queue_position;
  const QueuePosition& right = b->queue_position;
  // Jobs that have waited too long to begin: no other criterion may starve
  // them.
  if (left.starving != right.starving) return left.starving;
  // Services: they are few, and every second without a replica counts.
  if (a->spec().IsService() != b->spec().IsService())
    return a->spec().IsService();
  // Jobs within their team's guarantee: they need not wait for other teams.
  if (left.guaranteed != right.guaranteed) return left.guaranteed;
  // The more urgent priority class.
  if (a->spec().priority != b->spec().priority)
    return a->spec().priority > b->spec().priority;
  // Jobs that can still meet an objective, before those that can't.
  if (left.late != right.late) return right.late;
  // The team whose backlog takes longest at its limit.
  if (left.team_backlog_s != right.team_backlog_s)
    return left.team_backlog_s > right.team_backlog_s;
  // The smaller job, in powers of two: more jobs are done sooner.
  if (left.size_class != right.size_class)
    return left.size_class < right.size_class;
  // First come, first served.
  if (a->record->submitted_wall_s != b->record->submitted_wall_s)
    return a->record->submitted_wall_s < b->record->submitted_wall_s;
  // The identifier makes the order the same on every controller.
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
