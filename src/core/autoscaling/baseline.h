// The baseline: capacity that is kept regardless of the current demand and
// follows the load slowly.
#pragma once

#include "core/autoscaling/offer_catalog.h"
#include "core/autoscaling/scale_out_plan.h"
#include "core/machines/machine_table.h"
#include "core/model/settings.h"

namespace sorrelwood {

class Baseline {
 public:
  // The pointers must outlive this object.
  Baseline(MachineTable* machines, const OfferCatalog* catalog,
           const PolicySettings& policy)
      : machines_(machines),
        catalog_(catalog),
        share_of_guarantees_(policy.baseline_initial_share),
        smoothing_s_(policy.baseline_smoothing_s) {}

  // Starts a term. `guaranteed_cpus`: the sum of the teams' guarantees. The
  // baseline starts at its maximum size, which is the share
  // `baseline_initial_share` of them.
  void Reset(double guaranteed_cpus);

  // Updates the target from the load and marks the machines of the baseline
  // (FleetRole::baseline): the cheapest ones, among equals by name, up to the
  // target. Called every kPlanIntervalS.
  void SelectMachines();

  // Adds machines to `plan` until the capacity reaches the target.
  // `expected_cpus`: the capacity before, including the machines already in
  // `plan`.
  void Plan(double expected_cpus, ScaleOutPlan* plan) const;

  double target_cpus() const { return target_cpus_; }

 private:
  // Null if all offers are suspended.
  const Offer* FindCheapestOffer() const;

  MachineTable* machines_;
  const OfferCatalog* catalog_;
  const double share_of_guarantees_;
  const double smoothing_s_;  // time constant of load_cpus_
  double target_cpus_ = 0;
  double max_cpus_ = 0;
  double load_cpus_ = 0;  // in use, smoothed
};

}  // namespace sorrelwood
