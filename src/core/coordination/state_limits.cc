#include "core/coordination/state_limits.h"

#include <algorithm>

#include "base/constants.h"

namespace sorrelwood {

StateLimitTracker::StateLimitTracker(const ClusterSettings& settings)
    : now_{settings.state_write_rps, settings.state_value_kb,
           settings.state_txn_ops},
      next_(settings.state_next.value_or(now_)) {}

void StateLimitTracker::Learn(const StateResult& result) {
  if (result.refusal == StateRefusal::kTooLarge) values_fell_ = true;
  if (result.refusal == StateRefusal::kTooManyChanges) rate_fell_ = true;
}

int StateLimitTracker::max_mutations() const {
  return std::min(now_.txn_ops, next_.txn_ops);
}

size_t StateLimitTracker::max_preconditions() const {
  return static_cast<size_t>(max_mutations()) * kPreconditionsPerMutation;
}

size_t StateLimitTracker::value_bytes() const {
  const double kib =
      values_fell_ ? std::min(now_.value_kb, next_.value_kb) : now_.value_kb;
  return static_cast<size_t>(kib * 1024);
}

double StateLimitTracker::changes_per_s() const {
  return rate_fell_ ? std::min(now_.write_rps, next_.write_rps)
                    : now_.write_rps;
}

}  // namespace sorrelwood
