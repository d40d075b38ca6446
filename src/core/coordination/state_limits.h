// Tracks the limits of the state service. The service may lower them to the
// announced limits (`state.next` in the settings) at any time and without
// notice, so this controller infers the change from refused writes. A limit
// that was found to be lowered stays lowered.
#pragma once

#include <cstddef>

#include "core/engine/actions.h"
#include "core/model/settings.h"

namespace sorrelwood {

class StateLimitTracker {
 public:
  explicit StateLimitTracker(const ClusterSettings& settings);

  // Lowers the limit that a write exceeded, if it was refused for its size or
  // for the rate. Called with every result of the state service.
  void ObserveResult(const StateResult& result);

  // Mutations per transaction: the smaller of the current and the announced
  // limit from the start, so that no batch is ever refused for its length.
  int max_mutations() const;
  // Preconditions per transaction, by the service's limits on their number and
  // on the size of a transaction.
  size_t max_preconditions() const;
  // Bytes per value: the current limit until a value is refused. Until then all
  // records keep a form that the previous version of the software can read,
  // since controllers of that version may still run. Never more than fits into
  // a transaction.
  size_t max_value_bytes() const;
  // Mutations per second, of all controllers together.
  double mutations_per_s() const;

 private:
  StateLimits current_;
  StateLimits announced_;
  bool value_limit_lowered_ = false;
  bool rate_limit_lowered_ = false;
};

}  // namespace sorrelwood
