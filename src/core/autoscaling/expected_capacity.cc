#include "core/autoscaling/expected_capacity.h"

#include <algorithm>

#include "base/constants/run_time_estimates.h"
#include "core/autoscaling/boot_history.h"
#include "core/autoscaling/demand_estimator.h"

namespace sorrelwood {

bool CountsAsCapacity(const Machine& machine) {
  return machine.type && machine.lifecycle.identity_confirmed &&
         !machine.lifecycle.terminating && !machine.health.quarantined &&
         !machine.contact.unreachable &&
         machine.lifecycle.preemption_deadline == 0;
}

double ExpectedCapacity::UsedCpuSeconds(const TaskAttempt& attempt,
                                        const Job& job, const MachineType& type,
                                        double window_s) const {
  const double ran_s =
      attempt.running_since > 0 ? context_->now - attempt.running_since : 0;
  const double remaining_s = jobs_->EstimateRunTime(job.spec()) - ran_s;
  return DemandEstimator::CpuEquivalent(job.spec(), type) *
         std::clamp(remaining_s, kMinEstimateS, window_s);
}

std::vector<ExpectedMachine> ExpectedCapacity::ListExpected(
    double window_s) const {
  std::vector<ExpectedMachine> expected;
  for (const auto& [name, machine] : machines_->all()) {
    if (!CountsAsCapacity(*machine)) continue;
    const double cpus =
        machine->type->cpus * EstimateAvailability(*machine, context_->now);
    ExpectedMachine entry{machine->type, machine->zone, machine->spot, cpus,
                          cpus * window_s};
    for (const auto& [task, attempt] : machine->attempts)
      if (const Job* job = jobs_->Find(task.job))
        entry.free_cpu_seconds -=
            UsedCpuSeconds(attempt, *job, *machine->type, window_s);
    expected.push_back(entry);
  }
  for (const ProvisioningRecord* record : requests_->ListUnanswered()) {
    const MachineType* type = catalog_->FindType(record->type);
    for (int i = 0; type && i < record->count; ++i)
      expected.push_back({type, record->zone, record->spot, type->cpus,
                          type->cpus * window_s});
  }
  return expected;
}

double ExpectedCapacity::SumCpus(const ScaleOutPlan& plan) const {
  double cpus = 0;
  for (const auto& [name, machine] : machines_->all())
    if (CountsAsCapacity(*machine))
      cpus +=
          machine->type->cpus * EstimateAvailability(*machine, context_->now);
  for (const ProvisioningRecord* record : requests_->ListUnanswered())
    if (const MachineType* type = catalog_->FindType(record->type))
      cpus += record->count * type->cpus;
  for (const Offer& offer : catalog_->offers())
    cpus += plan.Count(offer) * offer.type->cpus;
  return cpus;
}

}  // namespace sorrelwood
