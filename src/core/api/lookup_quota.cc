#include "core/api/lookup_quota.h"

#include <algorithm>

#include "base/constants.h"

namespace sorrelwood {

bool LookupQuota::TryAcquire() {
  const double rate = std::max(
      kMinLookupsPerS, settings_->state_requests_per_s * kLookupRateShare /
                           static_cast<double>(settings_->peers.size() + 1));
  available_ =
      std::min(rate, available_ + (context_->now - refilled_at_) * rate);
  refilled_at_ = context_->now;
  if (available_ < 1) return false;
  available_ -= 1;
  return true;
}

}  // namespace sorrelwood
