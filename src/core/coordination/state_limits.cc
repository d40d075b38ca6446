#include "core/coordination/state_limits.h"

#include <algorithm>

#include "base/constants.h"

namespace sorrelwood {

StateLimitTracker::StateLimitTracker(const ClusterSettings& settings)
    : now_{settings.state_mutations_per_s, settings.state_max_value_kib,
           settings.state_max_mutations_per_transaction},
      next_(settings.next_state_limits.value_or(now_)) {}

void StateLimitTracker::Learn(const StateResult& result) {
  if (result.refusal == StateRefusal::kTooLarge) values_fell_ = true;
  if (result.refusal == StateRefusal::kTooManyChanges) rate_fell_ = true;
}

int StateLimitTracker::max_mutations() const {
  return std::min(now_.max_mutations_per_transaction,
                  next_.max_mutations_per_transaction);
}

size_t StateLimitTracker::max_preconditions() const {
  return static_cast<size_t>(max_mutations()) * kMaxPreconditionsPerMutation;
}

size_t StateLimitTracker::value_bytes() const {
  const double kib = values_fell_
                         ? std::min(now_.max_value_kib, next_.max_value_kib)
                         : now_.max_value_kib;
  return static_cast<size_t>(kib * 1024);
}

double StateLimitTracker::changes_per_s() const {
  return rate_fell_ ? std::min(now_.mutations_per_s, next_.mutations_per_s)
                    : now_.mutations_per_s;
}

}  // namespace sorrelwood
