#include "core/coordination/state_limits.h"

#include <algorithm>

#include "base/constants/state_service.h"
#include "base/constants/user_requests.h"

namespace sorrelwood {

StateLimitTracker::StateLimitTracker(const ClusterSettings& settings)
    : current_{settings.state_mutations_per_s, settings.state_max_value_kib,
               settings.state_max_mutations_per_transaction},
      announced_(settings.next_state_limits.value_or(current_)) {}

void StateLimitTracker::ObserveResult(const StateResult& result) {
  if (result.refusal == StateRefusal::kTooLarge) value_limit_lowered_ = true;
  if (result.refusal == StateRefusal::kTooManyChanges)
    rate_limit_lowered_ = true;
}

int StateLimitTracker::max_mutations() const {
  return std::min(current_.max_mutations_per_transaction,
                  announced_.max_mutations_per_transaction);
}

size_t StateLimitTracker::max_preconditions() const {
  constexpr size_t kMaxInTransaction =
      kMaxTransactionBytes / (kMaxStateKeyBytes + kPreconditionOverheadBytes);
  return std::min(
      static_cast<size_t>(max_mutations()) * kMaxPreconditionsPerMutation,
      kMaxInTransaction);
}

size_t StateLimitTracker::max_value_bytes() const {
  const double kib = value_limit_lowered_ ? std::min(current_.max_value_kib,
                                                     announced_.max_value_kib)
                                          : current_.max_value_kib;
  return std::min(static_cast<size_t>(kib * 1024), kMaxValueBytes);
}

double StateLimitTracker::mutations_per_s() const {
  return rate_limit_lowered_
             ? std::min(current_.mutations_per_s, announced_.mutations_per_s)
             : current_.mutations_per_s;
}

}  // namespace sorrelwood
