// Boot times of machines: which machines have booted, and which boots are so
// late that a new machine would be up sooner.
#pragma once

#include <map>
#include <vector>

#include "core/machines/machine_table.h"

namespace sorrelwood {

// The share of a machine's capacity that counts at `now` (steady clock, s): 1
// once it has sent a heartbeat, and until its boot is late; then it decreases
// to 0, so that replacements are provisioned gradually. The machine's type must
// be known.
double EstimateAvailability(const Machine& machine, double now);

// A snapshot of the machines that have come up in this leader's term.
class BootHistory {
 public:
  explicit BootHistory(MachineTable* machines);

  // Whether the boot of the machine, which has not sent a heartbeat yet, has
  // timed out, so that it must be released. Its type must be known.
  bool HasTimedOut(const Machine& machine, double now) const;

 private:
  // When the machines that have come up were provisioned (steady clock, s),
  // sorted, by type.
  std::map<const MachineType*, std::vector<double>> provisioned_at_by_type_;
};

}  // namespace sorrelwood
