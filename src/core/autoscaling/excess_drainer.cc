#include "core/autoscaling/excess_drainer.h"

#include <algorithm>
#include <compare>
#include <utility>

#include "base/constants/autoscaling.h"
#include "core/autoscaling/offer_catalog.h"
#include "core/scheduling/task_stop.h"

namespace sorrelwood {
namespace {

// The order in which machines become excess, the lowest rank first: machines of
// the baseline last, then the most expensive first, then those that were excess
// before, then those with the least in use. Members are compared in this order.
struct ExcessRank {
  bool baseline = false;
  double negative_price = 0;
  bool newly_excess = false;
  double used_share = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const ExcessRank&) const = default;
};

ExcessRank RankOf(const Machine& machine) {
  return {machine.role.baseline, -PricePerCpu(machine),
          !machine.role.was_excess, machine.used.cpus / machine.type->cpus};
}

}  // namespace

void ExcessDrainer::Run() {
  std::vector<Machine*> machines;
  for (auto& [name, machine] : machines_->all()) {
    machine->role.was_excess = std::exchange(machine->role.excess, false);
    if (machine->InService()) machines.push_back(machine.get());
  }
  if (machines.empty()) return;
  const double demand_cpus = EstimateDemandCpus(machines);
  std::stable_sort(machines.begin(), machines.end(),
                   [](const Machine* a, const Machine* b) {
                     return RankOf(*a) < RankOf(*b);
                   });
  MarkExcess(machines, demand_cpus);
  DrainExcess(machines);
}

double ExcessDrainer::EstimateDemandCpus(
    const std::vector<Machine*>& machines) const {
  double cpus = 0;
  for (const Machine* machine : machines)
    for (const auto& [task, attempt] : machine->attempts)
      if (const Job* job = jobs_->Find(task.job))
        cpus += DemandEstimator::CpuEquivalent(job->spec(), *machine->type);
  const MachineType& type = *machines.front()->type;
  CpusByTeam unused_quota = demand_->ComputeUnusedQuota();
  for (const Job* job : jobs_->queue())
    cpus += demand_->TakeStartableTasks(*job, &unused_quota) *
            demand_->CpuSeconds(job->spec(), type, window_s_) / window_s_;
  return cpus;
}

void ExcessDrainer::MarkExcess(const std::vector<Machine*>& machines,
                               double demand_cpus) {
  double capacity_cpus = 0;
  for (const Machine* machine : machines) capacity_cpus += machine->type->cpus;
  for (Machine* machine : machines) {
    if (machine->role.baseline) return;
    if (machine->role.for_services) continue;
    if (capacity_cpus - machine->type->cpus <
        demand_cpus * kExcessCapacityRatio)
      continue;
    machine->role.excess = true;
    capacity_cpus -= machine->type->cpus;
  }
}

// Premium machines are drained at any load, others only at most half in use:
// moving a task costs a checkpoint, a fetch and a start.
bool ExcessDrainer::MayDrain(const Machine& machine, bool premium) const {
  if (!machine.role.excess || machine.attempts.empty()) return false;
  if (!premium && machine.used.cpus > machine.type->cpus * kDrainMaxUsedShare)
    return false;
  return std::all_of(machine.attempts.begin(), machine.attempts.end(),
                     [&](const auto& item) {
                       return IsPreemptible(item.second, context_->now);
                     });
}

void ExcessDrainer::DrainExcess(const std::vector<Machine*>& machines) {
  double free_cpus = 0;
  double lowest_price = PricePerCpu(*machines.front());
  for (const Machine* machine : machines) {
    if (!machine->role.excess) free_cpus += machine->cpus_free();
    lowest_price = std::min(lowest_price, PricePerCpu(*machine));
  }
  for (Machine* machine : machines) {
    const bool premium =
        PricePerCpu(*machine) >= lowest_price * kPremiumPriceRatio;
    const double needed_cpus = machine->used.cpus * kDrainFreeCapacityRatio;
    // Prevents the stop of tasks for which no other machine has room.
    if (needed_cpus > free_cpus || !MayDrain(*machine, premium)) continue;
    free_cpus -= needed_cpus;
    Drain(machine);
  }
}

void ExcessDrainer::Drain(Machine* machine) {
  for (auto& [task, attempt] : machine->attempts) {
    attempt.stop = true;
    attempt.stop_grace_s =
        jobs_->Find(task.job)->spec().save_s + kDrainGraceMarginS;
  }
  context_->Info("draining machine", {{"machine", machine->name}});
}

}  // namespace sorrelwood
