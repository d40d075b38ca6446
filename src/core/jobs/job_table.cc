#include "core/jobs/job_table.h"

#include <algorithm>
#include <utility>

#include "core/jobs/objective_slack.h"
#include "core/jobs/queue_ranking.h"

namespace sorrelwood {

Job* JobTable::Add(std::shared_ptr<const LiveJob> record, uint64_t version,
                   bool from_earlier_term, double now) {
  auto& job = jobs_[record->spec.id];
  if (job) return job.get();
  job = std::make_unique<Job>();
  job->record = std::move(record);
  job->version = version;
  job->from_earlier_term = from_earlier_term;
  job->progress.pending.Add(0, job->spec().tasks);
  job->queued_at = now;
  profiles_.Learn(*job->record);
  queue_.Invalidate();
  return job.get();
}

void JobTable::Remove(const std::string& id) {
  last_found_ = nullptr;
  jobs_.erase(id);
  queue_.Invalidate();
}

void JobTable::Clear() {
  last_found_ = nullptr;
  jobs_.clear();
  queue_.Clear();
  usage_.Clear();
}

Job* JobTable::Find(const std::string& id) {
  if (last_found_ && last_found_->id() == id) return last_found_;
  const auto entry = jobs_.find(id);
  if (entry == jobs_.end()) return nullptr;
  return last_found_ = entry->second.get();
}

void JobTable::Rank(const ClusterSettings& settings, double wall_s) {
  std::vector<Job*> by_arrival;
  for (auto& [id, job] : jobs_) by_arrival.push_back(job.get());
  std::sort(by_arrival.begin(), by_arrival.end(),
            [](const Job* a, const Job* b) {
              return a->record->submitted_wall_s < b->record->submitted_wall_s;
            });
  QueueRanking(settings, run_times_, wall_s).Rank(by_arrival);
  queue_.Invalidate();
}

double JobTable::ComputeSlack(const Job& job,
                              const std::vector<Objective>& objectives,
                              double wall_s, double without_objective_s) const {
  return ComputeObjectiveSlack(job, objectives, EstimateRunTime(job.spec()),
                               wall_s, without_objective_s);
}

void JobTable::MarkPlaced(Job* job, uint32_t task, const std::string& machine,
                          const std::string& zone) {
  const JobSpec& spec = job->spec();
  job->progress.pending.Remove(task);
  job->progress.machine_of_task[task] = machine;
  ++job->progress.attempts_in_zone[zone];
  usage_.Add(spec.team, spec.cpus, spec.gpus);
}

void JobTable::MarkUnplaced(Job* job, uint32_t task, const std::string& zone) {
  const JobSpec& spec = job->spec();
  TaskProgress& progress = job->progress;
  if (progress.machine_of_task.erase(task) == 0) return;
  if (--progress.attempts_in_zone[zone] == 0)
    progress.attempts_in_zone.erase(zone);
  usage_.Add(spec.team, -spec.cpus, -spec.gpus);
  if (!progress.done.Contains(task)) progress.pending.Add(task);
}

void JobTable::MarkDone(Job* job, uint32_t task) {
  job->progress.pending.Remove(task);
  job->speculation.waiting_for_owned_since.erase(task);
  job->speculation.ran_before_move_s.erase(task);
  if (!job->progress.done.Contains(task)) job->progress.done.Add(task);
}

}  // namespace sorrelwood
