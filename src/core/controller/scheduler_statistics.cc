#include "core/controller/scheduler_statistics.h"

namespace sorrelwood {

SchedulerStatistics SchedulerStatisticsCollector::Collect() const {
  SchedulerStatistics statistics;
  statistics.jobs = jobs_->all().size();
  for (const auto& [id, job] : jobs_->all()) {
    statistics.pending_tasks += job->progress.pending.size();
    statistics.placed_tasks += job->progress.machine_of_task.size();
  }
  statistics.machines = machines_->all().size();
  for (const auto& [name, machine] : machines_->all())
    if (machine->role.baseline) ++statistics.baseline_machines;
  statistics.unreconciled_machines =
      placement_->admission().unreconciled_machines();
  statistics.baseline_target_cpus = autoscaler_->baseline_target_cpus();
  statistics.predictor_error_s = waiting_->predictor().mean_absolute_error_s();
  statistics.predictor_matthews_correlation =
      waiting_->predictor().matthews_correlation();
  statistics.predictor_samples = waiting_->predictor().sample_count();
  statistics.speculative_kills = waiting_->speculative_kills();
  statistics.kept_on_rented_machines = waiting_->rented_to_end();
  statistics.replicas = replicas_->CollectStatistics();
  statistics.rebalancing = rebalancer_->CollectStatistics();
  return statistics;
}

std::vector<JobCounts> SchedulerStatisticsCollector::CollectJobCounts() const {
  std::vector<JobCounts> counts;
  for (const auto& [id, job] : jobs_->all()) {
    const size_t running = job->spec().IsService()
                               ? machines_->CountRunningReplicas(*job)
                               : job->progress.machine_of_task.size();
    counts.push_back(
        {id, job->progress.done.size(), static_cast<uint32_t>(running)});
  }
  return counts;
}

void SchedulerStatisticsCollector::LogTeamUsage() const {
  for (const Team& team : settings_->teams) {
    double jobs = 0, cpus_pending = 0, backlog_s = 0;
    for (const Job* job : jobs_->queue()) {
      if (job->spec().team != team.name) continue;
      ++jobs;
      cpus_pending += job->progress.pending.size() * job->spec().cpus;
      backlog_s = job->queue_position.team_backlog_s;
    }
    context_->Debug("team usage",
                    {{"team", team.name},
                     {"cpus_used", jobs_->UsageOf(team.name).cpus},
                     {"cpus_max", team.cpus_max},
                     {"cpus_pending", cpus_pending},
                     {"jobs", jobs},
                     {"backlog_s", backlog_s}});
  }
}

}  // namespace sorrelwood
