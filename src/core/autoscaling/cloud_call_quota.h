// Limits the rate at which the leader calls the cloud.
#pragma once

#include "core/engine/context.h"
#include "core/model/settings.h"

namespace sorrelwood {

// A token bucket that holds the calls of one second. Prevents the cloud from
// rejecting calls (429), which would delay the important ones.
class CloudCallQuota {
 public:
  // Both must outlive this object.
  CloudCallQuota(const Context* context, const ClusterSettings* settings)
      : context_(context), settings_(settings) {}

  // The leader's share of the cloud's call rate.
  double CallsPerS() const;

  // Takes one call; false if none is left now.
  bool TryAcquire();

  // Accounts for calls made without TryAcquire: later calls wait for them.
  void Charge(double calls) { available_calls_ -= calls; }

 private:
  const Context* context_;
  const ClusterSettings* settings_;
  double available_calls_ = 0;  // negative after Charge
  double refilled_at_ = 0;      // steady clock, s
};

}  // namespace sorrelwood
