#include "core/autoscaling/offer_selector.h"

#include <algorithm>
#include <cmath>

#include "base/constants/autoscaling.h"

namespace sorrelwood {

double OfferSelector::ComputeTaskPrice(const JobSpec& spec,
                                       const Offer& offer) {
  return offer.price * DemandEstimator::CpuEquivalent(spec, *offer.type) /
         offer.type->cpus;
}

double OfferSelector::FindLowestTaskPrice(const Job& job) const {
  double lowest = 0;
  for (const Offer& offer : catalog_->offers()) {
    if (!DemandEstimator::CanRunOn(job, *offer.type, offer.zone, offer.spot))
      continue;
    const double price = ComputeTaskPrice(job.spec(), offer);
    if (lowest == 0 || price < lowest) lowest = price;
  }
  return lowest;
}

const Offer* OfferSelector::FindCheapest(
    const Job& job, double tasks, PriceLimit limit, const ScaleOutPlan& plan,
    const std::set<std::string>& excluded_zones) const {
  const JobSpec& spec = job.spec();
  const double low_cost_limit = FindLowestTaskPrice(job) * kPremiumPriceRatio;
  const Offer* best = nullptr;
  Cost best_cost;
  for (const Offer& offer : catalog_->offers()) {
    if (catalog_->IsSuspended(offer) || excluded_zones.count(offer.zone) ||
        !DemandEstimator::CanRunOn(job, *offer.type, offer.zone, offer.spot))
      continue;
    if (limit == PriceLimit::kLowCost &&
        ComputeTaskPrice(spec, offer) > low_cost_limit)
      continue;
    const double tasks_in_window = std::max(
        1.0, std::floor(offer.type->cpus * window_s_ /
                        demand_->CpuSeconds(spec, *offer.type, window_s_)));
    const Cost cost{offer.price / std::min(tasks_in_window, tasks),
                    plan.Count(offer)};
    if (best && cost >= best_cost) continue;
    best = &offer;
    best_cost = cost;
  }
  return best;
}

}  // namespace sorrelwood
