// Chooses the offer on which a job's tasks cost least.
#pragma once

#include <compare>
#include <set>
#include <string>

#include "core/autoscaling/demand_estimator.h"
#include "core/autoscaling/offer_catalog.h"
#include "core/autoscaling/scale_out_plan.h"

namespace sorrelwood {

// How much more than the cheapest suitable offer the chosen one may cost.
enum class PriceLimit {
  kLowCost,  // less than kPremiumPriceRatio times as much
  kAny,
};

class OfferSelector {
 public:
  // Both pointers must outlive this object. Tasks may take `window_s` seconds
  // to be worked off: the more of them a machine does within it, the cheaper it
  // is.
  OfferSelector(const OfferCatalog* catalog, const DemandEstimator* demand,
                double window_s)
      : catalog_(catalog), demand_(demand), window_s_(window_s) {}

  // The offer that does `tasks` tasks of the job at the least cost; among
  // equals the one of which `plan` has least. Null if no offer is suitable.
  const Offer* Cheapest(const Job& job, double tasks, PriceLimit limit,
                        const ScaleOutPlan& plan,
                        const std::set<std::string>& excluded_zones = {}) const;

 private:
  // Members are compared in this order.
  struct Cost {
    double price_per_task = 0;
    int planned = 0;  // machines of the offer that the plan has
    // NOLINTNEXTLINE(modernize-use-nullptr): wrong report of clang-tidy 14.
    auto operator<=>(const Cost&) const = default;
  };

  // Prices are compared by what one task takes of a machine (per hour).
  static double TaskPrice(const JobSpec& spec, const Offer& offer);
  // Of all offers on which the job can run, suspended ones too: prevents the
  // limit from rising while the cheap ones are refused. 0: there is none.
  double LowestTaskPrice(const Job& job) const;

  const OfferCatalog* catalog_;
  const DemandEstimator* demand_;
  const double window_s_;
};

}  // namespace sorrelwood
