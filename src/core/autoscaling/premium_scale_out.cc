#include "core/autoscaling/premium_scale_out.h"

#include <algorithm>

#include "base/constants/autoscaling.h"

namespace sorrelwood {

double PremiumScaleOut::FindLongestBootS() const {
  double longest_boot_s = 0;
  for (const auto& [name, type] : catalog_->types())
    longest_boot_s = std::max(longest_boot_s, type.boot_s);
  return longest_boot_s;
}

PremiumScaleOut::Balance PremiumScaleOut::ComputeBalance(
    const ScaleOutPlan& plan) const {
  Balance balance;
  for (const ExpectedMachine& machine : capacity_->ListExpected(window_s_)) {
    balance.cpus += machine.cpus;
    balance.work_cpu_seconds +=
        machine.cpus * window_s_ - machine.free_cpu_seconds;
  }
  for (const Offer& offer : catalog_->offers())
    balance.cpus += plan.Count(offer) * offer.type->cpus;
  return balance;
}

bool PremiumScaleOut::MayNeedPremium(const Job& job) const {
  return !job.progress.pending.empty() && !job.finishing && !job.failing() &&
         !job.spec().IsService() && context_->now >= job.failures.retry_at;
}

double PremiumScaleOut::ComputeAllowedTimeS(const Job& job,
                                            double longest_boot_s) const {
  const double slack_s = jobs_->ComputeSlack(job, settings_->objectives,
                                             context_->wall_time, window_s_);
  // A deadline that has passed, or that comes before a new machine could be up
  // and do the work, does not justify a premium.
  return slack_s < kPremiumMinBootTimes * longest_boot_s ? window_s_ : slack_s;
}

double PremiumScaleOut::ComputeTeamLimitCpuSeconds(const Job& job,
                                                   double allowed_s) const {
  double limit_cpu_seconds = 0;
  for (const Team& team : settings_->teams)
    if (team.name == job.spec().team)
      limit_cpu_seconds = team.cpus_max * allowed_s;
  return limit_cpu_seconds;
}

void PremiumScaleOut::Plan(ScaleOutPlan* plan) {
  const double longest_boot_s = FindLongestBootS();
  Balance balance = ComputeBalance(*plan);
  std::map<std::string, double> cpu_seconds_by_team;  // of the jobs so far
  for (const Job* job : jobs_->queue()) {
    if (!MayNeedPremium(*job)) continue;
    const JobSpec& spec = job->spec();
    const double allowed_s = ComputeAllowedTimeS(*job, longest_boot_s);
    const double tasks = job->progress.pending.size();
    const double task_cpu_seconds =
        std::min(jobs_->EstimateRunTime(spec), allowed_s) * spec.cpus;
    double& team_cpu_seconds = cpu_seconds_by_team[spec.team];
    const double work_cpu_seconds =
        std::min(tasks * task_cpu_seconds,
                 std::max(0.0, ComputeTeamLimitCpuSeconds(*job, allowed_s) -
                                   team_cpu_seconds));
    team_cpu_seconds += work_cpu_seconds;
    balance.work_cpu_seconds += work_cpu_seconds;
    double missing_cpus =
        balance.work_cpu_seconds / (allowed_s * kPremiumOverrunRatio) -
        balance.cpus;
    // The job's own work can use no more than this.
    double usable_cpus = work_cpu_seconds / allowed_s;
    while (missing_cpus > 0 && usable_cpus > 0) {
      const Offer* offer =
          selector_.FindCheapest(*job, tasks, PriceLimit::kAny, *plan);
      if (!offer) break;
      plan->AddMachine(*offer);
      balance.cpus += offer->type->cpus;
      missing_cpus -= offer->type->cpus;
      usable_cpus -= offer->type->cpus;
    }
  }
}

}  // namespace sorrelwood
