// The limits of the state service as this controller takes them to be. They may
// fall to the announced ones (`state.next` in the settings) at a moment that
// nobody announces; what has been seen to fall stays so.
#pragma once

#include <cstddef>

#include "core/engine/actions.h"
#include "core/model/settings.h"

namespace sorrelwood {

class StateLimitTracker {
 public:
  explicit StateLimitTracker(const ClusterSettings& settings);

  // Takes note of a write that was refused for its size or for the rate.
  void Learn(const StateResult& result);

  // Changes in one transaction: the smaller of both from the start, so that no
  // batch is ever refused for its length.
  int max_mutations() const;
  // Conditions in one transaction.
  size_t max_preconditions() const;
  // Bytes of one value: as now, until a value is refused. Guards against
  // records in a form that the version before can't read, while it may serve.
  size_t value_bytes() const;
  // Changes a second, of all controllers together.
  double changes_per_s() const;

 private:
  StateLimits now_;
  StateLimits next_;
  bool values_fell_ = false;
  bool rate_fell_ = false;
};

}  // namespace sorrelwood
