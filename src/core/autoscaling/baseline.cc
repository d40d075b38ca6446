#include "core/autoscaling/baseline.h"

#include <algorithm>
#include <vector>

#include "base/constants/autoscaling.h"

namespace sorrelwood {

void Baseline::Reset(double guaranteed_cpus) {
  max_cpus_ = guaranteed_cpus * share_of_guarantees_;
  target_cpus_ = load_cpus_ = max_cpus_;
}

void Baseline::SelectMachines() {
  std::vector<Machine*> in_service;
  double used_cpus = 0;
  for (auto& [name, machine] : machines_->all()) {
    machine->role.baseline = false;
    used_cpus += machine->used.cpus;
    if (machine->InService()) in_service.push_back(machine.get());
  }
  // Until the first machines are up the load is unknown.
  if (!in_service.empty())
    load_cpus_ +=
        (used_cpus - load_cpus_) * std::min(1.0, kPlanIntervalS / smoothing_s_);
  target_cpus_ = std::min(max_cpus_, load_cpus_);
  std::stable_sort(in_service.begin(), in_service.end(),
                   [](const Machine* a, const Machine* b) {
                     return PricePerCpu(*a) < PricePerCpu(*b);
                   });
  double cpus = 0;
  for (Machine* machine : in_service) {
    machine->role.baseline = cpus < target_cpus_;
    if (machine->role.baseline) cpus += machine->type->cpus;
  }
}

const Offer* Baseline::FindCheapestOffer() const {
  const Offer* best = nullptr;
  for (const Offer& offer : catalog_->offers())
    if (!catalog_->IsSuspended(offer) &&
        (!best || offer.PricePerCpu() < best->PricePerCpu()))
      best = &offer;
  return best;
}

void Baseline::Plan(double expected_cpus, ScaleOutPlan* plan) const {
  while (expected_cpus < target_cpus_) {
    const Offer* offer = FindCheapestOffer();
    if (!offer) return;
    plan->AddMachine(*offer);
    expected_cpus += offer->type->cpus;
  }
}

}  // namespace sorrelwood
