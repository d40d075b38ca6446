// The number of machines of each offer to provision.
#pragma once

#include <map>

#include "core/autoscaling/offer_catalog.h"

namespace sorrelwood {

// Filled by the planners in turn; each sees what the previous ones have added.
class ScaleOutPlan {
 public:
  void AddMachine(const Offer& offer) { ++machine_counts_[offer.Pool()]; }

  // Machines of the offer in the plan so far.
  int Count(const Offer& offer) const {
    const auto entry = machine_counts_.find(offer.Pool());
    return entry == machine_counts_.end() ? 0 : entry->second;
  }

 private:
  std::map<CapacityPool, int> machine_counts_;
};

}  // namespace sorrelwood
