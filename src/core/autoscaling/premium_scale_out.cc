#include "core/autoscaling/premium_scale_out.h"

#include <algorithm>

#include "base/constants.h"

namespace sorrelwood {

double PremiumScaleOut::LongestBootS() const {
  double longest = 0;
  for (const auto& [name, type] : catalog_->types())
    longest = std::max(longest, type.boot_s);
  return longest;
}

PremiumScaleOut::Balance PremiumScaleOut::CurrentBalance(
    const ScaleOutPlan& plan) const {
  Balance balance;
  for (const ExpectedMachine& machine : capacity_->Machines(window_s_)) {
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

double PremiumScaleOut::TimeAllowedS(const Job& job, double boot_s) const {
  const double slack_s =
      jobs_->Slack(job, settings_->objectives, context_->wall_time, window_s_);
  // A deadline that is past, or that comes before a new machine could be up and
  // do the work, is no reason to pay more.
  return slack_s < kPremiumMinBootTimes * boot_s ? window_s_ : slack_s;
}

double PremiumScaleOut::TeamLimitCpuSeconds(const Job& job,
                                            double time_s) const {
  double limit = 0;
  for (const Team& team : settings_->teams)
    if (team.name == job.spec().team) limit = team.cpus_max * time_s;
  return limit;
}

void PremiumScaleOut::Plan(ScaleOutPlan* plan) {
  const double boot_s = LongestBootS();
  Balance balance = CurrentBalance(*plan);
  std::map<std::string, double> team_cpu_seconds;  // of jobs looked at so far
  for (const Job* job : jobs_->queue()) {
    if (!MayNeedPremium(*job)) continue;
    const JobSpec& spec = job->spec();
    const double time_s = TimeAllowedS(*job, boot_s);
    const double tasks = job->progress.pending.size();
    const double task_cpu_seconds =
        std::min(jobs_->Estimate(spec), time_s) * spec.cpus;
    double& team_used = team_cpu_seconds[spec.team];
    const double work =
        std::min(tasks * task_cpu_seconds,
                 std::max(0.0, TeamLimitCpuSeconds(*job, time_s) - team_used));
    team_used += work;
    balance.work_cpu_seconds += work;
    double missing_cpus =
        balance.work_cpu_seconds / (time_s * kPremiumOverrunRatio) -
        balance.cpus;
    // No more than this job's own work can use.
    double usable_cpus = work / time_s;
    while (missing_cpus > 0 && usable_cpus > 0) {
      const Offer* offer =
          selector_.Cheapest(*job, tasks, PriceLimit::kAny, *plan);
      if (!offer) break;
      plan->AddMachine(*offer);
      balance.cpus += offer->type->cpus;
      missing_cpus -= offer->type->cpus;
      usable_cpus -= offer->type->cpus;
    }
  }
}

}  // namespace sorrelwood
