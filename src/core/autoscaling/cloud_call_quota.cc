#include "core/autoscaling/cloud_call_quota.h"

#include <algorithm>

#include "base/constants.h"

namespace sorrelwood {

double CloudCallQuota::CallsPerS() const {
  return settings_->cloud_requests_per_s * kCloudRateShare;
}

bool CloudCallQuota::TryAcquire() {
  const double rate = CallsPerS();
  available_ =
      std::min(rate, available_ + (context_->now - refilled_at_) * rate);
  refilled_at_ = context_->now;
  if (available_ < 1) return false;
  available_ -= 1;
  return true;
}

}  // namespace sorrelwood
