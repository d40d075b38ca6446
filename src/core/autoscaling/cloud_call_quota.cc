#include "core/autoscaling/cloud_call_quota.h"

#include <algorithm>

#include "base/constants/cloud.h"

namespace sorrelwood {

double CloudCallQuota::CallsPerS() const {
  return settings_->cloud_requests_per_s * kCloudRateShare;
}

bool CloudCallQuota::TryAcquire() {
  const double calls_per_s = CallsPerS();
  available_calls_ =
      std::min(calls_per_s,
               available_calls_ + (context_->now - refilled_at_) * calls_per_s);
  refilled_at_ = context_->now;
  if (available_calls_ < 1) return false;
  available_calls_ -= 1;
  return true;
}

}  // namespace sorrelwood
