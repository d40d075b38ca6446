#include "core/autoscaling/demand_estimator.h"

#include <algorithm>
#include <cmath>

#include "base/constants/autoscaling.h"
#include "core/scheduling/placement.h"

namespace sorrelwood {

CpusByTeam DemandEstimator::ComputeUnusedQuota() const {
  CpusByTeam unused;
  for (const Team& team : settings_->teams)
    unused[team.name] = team.cpus_max - jobs_->UsageOf(team.name).cpus;
  return unused;
}

double DemandEstimator::TakeStartableTasks(const Job& job,
                                           CpusByTeam* unused_quota) const {
  if (job.progress.pending.empty() || job.finishing ||
      context_->now < job.failures.retry_at)
    return 0;
  double& unused = (*unused_quota)[job.spec().team];
  double tasks =
      job.CountRunnableTasks(context_->now) -
      static_cast<double>(job.speculation.waiting_for_owned_since.size());
  if (job.spec().cpus > 0)
    tasks = std::min(tasks,
                     std::floor(unused / job.spec().cpus + kTaskCountRounding));
  tasks = std::max(0.0, tasks);
  unused -= tasks * job.spec().cpus;
  return tasks;
}

double DemandEstimator::CpuEquivalent(const JobSpec& spec,
                                      const MachineType& type) {
  const TaskResources task = ResourcesPerTask(spec);
  const TaskResources all = ResourcesOf(type);
  double share =
      std::max(task.cpus / all.cpus, task.report_bytes / all.report_bytes);
  if (all.memory_gb > 0)
    share = std::max(share, task.memory_gb / all.memory_gb);
  if (all.gpus > 0) share = std::max(share, task.gpus / all.gpus);
  return share * type.cpus;
}

double DemandEstimator::CpuSeconds(const JobSpec& spec, const MachineType& type,
                                   double window_s) const {
  return CpuEquivalent(spec, type) *
         std::min(jobs_->EstimateRunTime(spec), window_s);
}

bool DemandEstimator::CanRunOn(const Job& job, const MachineType& type,
                               const std::string& zone, bool spot) {
  const JobSpec& spec = job.spec();
  if (spec.one_zone && !job.progress.attempts_in_zone.empty() &&
      job.progress.attempts_in_zone.begin()->first != zone)
    return false;
  if (!AllowsLocation(spec, type, zone, spot)) return false;
  return spec.cpus <= type.cpus && spec.gpus <= type.gpus &&
         spec.memory_gb <= type.memory_gb;
}

}  // namespace sorrelwood
