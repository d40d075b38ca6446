// Spreads new tasks: machines that one more task would crowd (move over a load
// bound) are chosen last, and among otherwise equal machines the tasks of an
// image are placed by image affinity.
#pragma once

#include <cstdint>

#include "core/balance/load_bounds.h"
#include "core/model/spread_settings.h"
#include "core/scheduling/placement_spread.h"

namespace sorrelwood {

class BoundedPlacement : public PlacementSpread {
 public:
  BoundedPlacement(JobTable* jobs, MachineTable* machines,
                   const ClusterSettings* settings,
                   const SpreadSettings& spread)
      : spread_(spread), bounds_(jobs, machines, settings, spread) {}

  void Update(double now) override { bounds_.Update(now); }
  bool WouldCrowd(const Job& job, const Machine& machine) const override;
  uint64_t TieBreak(const Job& job, const Machine& machine) const override;

 private:
  SpreadSettings spread_;
  LoadBounds bounds_;
};

}  // namespace sorrelwood
