// How placement asks for load spread without knowing its rules.
#pragma once

#include <cstdint>

#include "core/jobs/job.h"
#include "core/machines/machine_table.h"

namespace sorrelwood {

// Decides among machines that the other rules of placement leave open, so that
// load is spread (docs/load-spread.md).
class PlacementSpread {
 public:
  virtual ~PlacementSpread() = default;
  // Demand and capacity may have changed; called once before a pass.
  virtual void Update(double now) = 0;
  // One more task of the job would crowd the machine: others go first.
  virtual bool WouldCrowd(const Job& job, const Machine& machine) const = 0;
  // Among machines that are equal otherwise the least goes first.
  virtual uint64_t TieBreak(const Job& job, const Machine& machine) const = 0;
};

}  // namespace sorrelwood
