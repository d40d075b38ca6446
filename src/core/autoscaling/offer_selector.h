// Selects the offer on which a job's tasks cost least.
#pragma once

#include <compare>
#include <set>
#include <string>

#include "core/autoscaling/demand_estimator.h"
#include "core/autoscaling/offer_catalog.h"
#include "core/autoscaling/scale_out_plan.h"

namespace sorrelwood {

// How much more than the cheapest suitable offer the selected one may cost.
enum class PriceLimit {
  kLowCost,  // at most kPremiumPriceRatio times as much
  kAny,
};

class OfferSelector {
 public:
  // Both pointers must outlive this object. `window_s`: time within which the
  // tasks must be done; the more of them a machine can do within it, the lower
  // is their cost.
  OfferSelector(const OfferCatalog* catalog, const DemandEstimator* demand,
                double window_s)
      : catalog_(catalog), demand_(demand), window_s_(window_s) {}

  // The offer with the lowest cost for `tasks` tasks of the job; among equals
  // the one with the fewest machines in `plan`. Null if no offer is suitable.
  const Offer* FindCheapest(
      const Job& job, double tasks, PriceLimit limit, const ScaleOutPlan& plan,
      const std::set<std::string>& excluded_zones = {}) const;

 private:
  // Members are compared in this order.
  struct Cost {
    double price_per_task = 0;
    int planned = 0;  // machines of the offer in the plan

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
    auto operator<=>(const Cost&) const = default;
  };

  // The price per hour of the share of a machine that one task takes.
  static double ComputeTaskPrice(const JobSpec& spec, const Offer& offer);
  // The lowest task price of all offers on which the job can run, including
  // suspended ones: prevents the limit from rising while the cheap offers are
  // refused. 0: the job can run on no offer.
  double FindLowestTaskPrice(const Job& job) const;

  const OfferCatalog* catalog_;
  const DemandEstimator* demand_;
  const double window_s_;
};

}  // namespace sorrelwood
