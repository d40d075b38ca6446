// The steady baseline: capacity that is kept whether or not there is work for
// it, and follows the load slowly.
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
        load_memory_s_(policy.baseline_smoothing_s) {}

  // A term begins; the teams are guaranteed so many CPUs. The operators' share
  // of them is the baseline at first, and its maximum.
  void Reset(double guaranteed_cpus);

  // Follows the load and marks the machines that are the baseline
  // (FleetRole::baseline): the cheapest, among equals by name, up to the
  // target. Called every kPlanIntervalS.
  void SelectMachines();

  // Adds machines to `plan` until it and the `expected_cpus` that there are
  // without further ones make up the target.
  void Plan(double expected_cpus, ScaleOutPlan* plan) const;

  double target_cpus() const { return target_cpus_; }

 private:
  // Null if all offers are suspended.
  const Offer* CheapestOffer() const;

  MachineTable* machines_;
  const OfferCatalog* catalog_;
  const double share_of_guarantees_;
  const double load_memory_s_;
  double target_cpus_ = 0;
  double max_cpus_ = 0;
  double load_cpus_ = 0;  // in use, smoothed
};

}  // namespace sorrelwood
