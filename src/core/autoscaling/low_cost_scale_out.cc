#include "core/autoscaling/low_cost_scale_out.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace sorrelwood {

void LowCostScaleOut::Plan(ScaleOutPlan* plan) {
  std::vector<ExpectedMachine> machines = capacity_->ListExpected(window_s_);
  CpusByTeam unused_quota = demand_->ComputeUnusedQuota();
  for (const Job* job : jobs_->queue()) {
    const double tasks = demand_->TakeStartableTasks(*job, &unused_quota);
    if (tasks < 1) continue;
    JobDemand demand{*job, tasks, {}};
    AssignToExpected(&demand, &machines);
    AssignToNew(&demand, &machines, plan);
  }
}

double LowCostScaleOut::CountTasksAllowedInZone(const JobDemand& demand,
                                                const std::string& zone) {
  const Job& job = demand.job;
  if (!job.spec().spread) return kNoLimit;
  const uint32_t max_tasks = (job.spec().tasks + 1) / 2;
  double allowed = max_tasks;
  const auto running = job.progress.attempts_in_zone.find(zone);
  if (running != job.progress.attempts_in_zone.end())
    allowed -= running->second;
  const auto assigned = demand.assigned_tasks_in_zone.find(zone);
  if (assigned != demand.assigned_tasks_in_zone.end())
    allowed -= assigned->second;
  return std::max(0.0, allowed);
}

void LowCostScaleOut::Assign(double tasks, double task_cpu_seconds,
                             JobDemand* demand, ExpectedMachine* machine) {
  machine->free_cpu_seconds -= tasks * task_cpu_seconds;
  demand->assigned_tasks_in_zone[machine->zone] += tasks;
  demand->unassigned_tasks -= tasks;
}

void LowCostScaleOut::AssignToExpected(
    JobDemand* demand, std::vector<ExpectedMachine>* machines) const {
  const Job& job = demand->job;
  for (ExpectedMachine& machine : *machines) {
    if (demand->unassigned_tasks < 1) return;
    if (!DemandEstimator::CanRunOn(job, *machine.type, machine.zone,
                                   machine.spot))
      continue;
    const double task_cpu_seconds =
        demand_->CpuSeconds(job.spec(), *machine.type, window_s_);
    const double tasks =
        std::min({demand->unassigned_tasks,
                  std::floor(machine.free_cpu_seconds / task_cpu_seconds),
                  CountTasksAllowedInZone(*demand, machine.zone)});
    if (tasks >= 1) Assign(tasks, task_cpu_seconds, demand, &machine);
  }
}

void LowCostScaleOut::AssignToNew(JobDemand* demand,
                                  std::vector<ExpectedMachine>* machines,
                                  ScaleOutPlan* plan) const {
  const JobSpec& spec = demand->job.spec();
  // A service runs indefinitely: it gets machines at any price.
  const PriceLimit limit =
      spec.IsService() ? PriceLimit::kAny : PriceLimit::kLowCost;
  while (demand->unassigned_tasks >= 1) {
    std::set<std::string> full_zones;
    if (spec.spread)
      for (const Offer& offer : catalog_->offers())
        if (CountTasksAllowedInZone(*demand, offer.zone) < 1)
          full_zones.insert(offer.zone);
    const Offer* offer = selector_.FindCheapest(
        demand->job, demand->unassigned_tasks, limit, *plan, full_zones);
    if (!offer) return;
    const double task_cpu_seconds =
        demand_->CpuSeconds(spec, *offer->type, window_s_);
    ExpectedMachine machine{offer->type, offer->zone, offer->spot,
                            offer->type->cpus, offer->type->cpus * window_s_};
    const double tasks = std::min(
        {demand->unassigned_tasks,
         std::max(1.0, std::floor(machine.free_cpu_seconds / task_cpu_seconds)),
         CountTasksAllowedInZone(*demand, machine.zone)});
    Assign(tasks, task_cpu_seconds, demand, &machine);
    machines->push_back(machine);
    plan->AddMachine(*offer);
  }
}

}  // namespace sorrelwood
