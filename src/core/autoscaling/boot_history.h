// Which machines have booted, and which of the others are so late that a new
// one would be up sooner.
#pragma once

#include <map>
#include <vector>

#include "core/machines/machine_table.h"

namespace sorrelwood {

// The share of a machine's capacity to count on at `now` (steady clock, s): 1
// once it has reported, and until its boot is late; then falling to 0, so that
// a replacement is provisioned bit by bit. Its type must be known.
double ExpectedAvailability(const Machine& machine, double now);

// A snapshot of the machines that have come up in this leader's term.
class BootHistory {
 public:
  explicit BootHistory(MachineTable* machines);

  // The machine, which has not reported yet, is to be released for it. Its type
  // must be known.
  bool HasTimedOut(const Machine& machine, double now) const;

 private:
  // When the machines that have come up were provisioned, in order, by type.
  std::map<const MachineType*, std::vector<double>> provisioned_at_;
};

}  // namespace sorrelwood
