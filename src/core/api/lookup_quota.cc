#include "core/api/lookup_quota.h"

#include <algorithm>

#include "base/constants/user_requests.h"

namespace sorrelwood {

bool LookupQuota::TryAcquire() {
  const double reads_per_s = std::max(
      kMinLookupsPerS, settings_->state_requests_per_s * kLookupRateShare /
                           static_cast<double>(settings_->peers.size() + 1));
  available_reads_ =
      std::min(reads_per_s,
               available_reads_ + (context_->now - refilled_at_) * reads_per_s);
  refilled_at_ = context_->now;
  if (available_reads_ < 1) return false;
  available_reads_ -= 1;
  return true;
}

}  // namespace sorrelwood
