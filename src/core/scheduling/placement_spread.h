// Interface through which placement uses load spread without depending on its
// implementation.
#pragma once

#include <cstdint>

#include "core/jobs/job.h"
#include "core/machines/machine_table.h"

namespace sorrelwood {

// Chooses among machines that the other placement rules allow, so that load is
// spread over them (docs/load-spread.md).
class PlacementSpread {
 public:
  virtual ~PlacementSpread() = default;
  // Adapts to the current demand and capacity. Called once before each pass.
  virtual void Update(double now) = 0;
  // True if one more task of the job would take the machine beyond its load
  // bounds; other machines are preferred then.
  virtual bool WouldCrowd(const Job& job, const Machine& machine) const = 0;
  // Among machines that are otherwise equal the lowest value is preferred.
  virtual uint64_t TieBreak(const Job& job, const Machine& machine) const = 0;
};

}  // namespace sorrelwood
