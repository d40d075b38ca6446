// How many machines of each offer are to be provisioned.
#pragma once

#include <map>

#include "core/autoscaling/offer_catalog.h"

namespace sorrelwood {

// Filled by the planners one after the other; each sees what those before it
// have added.
class ScaleOutPlan {
 public:
  void AddMachine(const Offer& offer) { ++machines_[offer.Pool()]; }

  // Machines of the offer that the plan has so far.
  int Count(const Offer& offer) const {
    const auto it = machines_.find(offer.Pool());
    return it == machines_.end() ? 0 : it->second;
  }

 private:
  std::map<CapacityPool, int> machines_;
};

}  // namespace sorrelwood
