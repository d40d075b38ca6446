#include "core/autoscaling/low_cost_scale_out.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace sorrelwood {

void LowCostScaleOut::Plan(ScaleOutPlan* plan) {
  std::vector<ExpectedMachine> machines = capacity_->Machines(window_s_);
  TeamCpus unused_quota = demand_->UnusedQuota();
  for (const Job* job : jobs_->queue()) {
    const double tasks = demand_->TakeStartableTasks(*job, &unused_quota);
    if (tasks < 1) continue;
    JobDemand demand{*job, tasks, {}};
    AssignToExpected(&demand, &machines);
    AssignToNew(&demand, &machines, plan);
  }
}

double LowCostScaleOut::TasksAllowedInZone(const JobDemand& demand,
                                           const std::string& zone) {
  const Job& job = demand.job;
  if (!job.spec().spread) return kNoLimit;
  const uint32_t most = (job.spec().tasks + 1) / 2;
  double allowed = most;
  const auto running = job.progress.attempts_in_zone.find(zone);
  if (running != job.progress.attempts_in_zone.end())
    allowed -= running->second;
  const auto assigned = demand.tasks_in_zone.find(zone);
  if (assigned != demand.tasks_in_zone.end()) allowed -= assigned->second;
  return std::max(0.0, allowed);
}

void LowCostScaleOut::Assign(double tasks, double task_cpu_seconds,
                             JobDemand* demand, ExpectedMachine* machine) {
  machine->free_cpu_seconds -= tasks * task_cpu_seconds;
  demand->tasks_in_zone[machine->zone] += tasks;
  demand->tasks -= tasks;
}

void LowCostScaleOut::AssignToExpected(
    JobDemand* demand, std::vector<ExpectedMachine>* machines) const {
  const Job& job = demand->job;
  for (ExpectedMachine& machine : *machines) {
    if (demand->tasks < 1) return;
    if (!DemandEstimator::CanRunOn(job, *machine.type, machine.zone,
                                   machine.spot))
      continue;
    const double each =
        demand_->CpuSeconds(job.spec(), *machine.type, window_s_);
    const double tasks =
        std::min({demand->tasks, std::floor(machine.free_cpu_seconds / each),
                  TasksAllowedInZone(*demand, machine.zone)});
    if (tasks >= 1) Assign(tasks, each, demand, &machine);
  }
}

void LowCostScaleOut::AssignToNew(JobDemand* demand,
                                  std::vector<ExpectedMachine>* machines,
                                  ScaleOutPlan* plan) const {
  const JobSpec& spec = demand->job.spec();
  // A service runs for long: it gets machines at any price.
  const PriceLimit limit =
      spec.IsService() ? PriceLimit::kAny : PriceLimit::kLowCost;
  while (demand->tasks >= 1) {
    std::set<std::string> full_zones;
    if (spec.spread)
      for (const Offer& offer : catalog_->offers())
        if (TasksAllowedInZone(*demand, offer.zone) < 1)
          full_zones.insert(offer.zone);
    const Offer* offer = selector_.Cheapest(demand->job, demand->tasks, limit,
                                            *plan, full_zones);
    if (!offer) return;
    const double each = demand_->CpuSeconds(spec, *offer->type, window_s_);
    ExpectedMachine machine{offer->type, offer->zone, offer->spot,
                            offer->type->cpus, offer->type->cpus * window_s_};
    const double tasks =
        std::min({demand->tasks,
                  std::max(1.0, std::floor(machine.free_cpu_seconds / each)),
                  TasksAllowedInZone(*demand, machine.zone)});
    Assign(tasks, each, demand, &machine);
    machines->push_back(machine);
    plan->AddMachine(*offer);
  }
}

}  // namespace sorrelwood
