// The rate at which the leader may call the cloud.
#pragma once

#include "core/engine/context.h"
#include "core/model/settings.h"

namespace sorrelwood {

// A token bucket that holds one second's calls. Prevents the cloud from turning
// calls away (429), which would delay those that matter.
class CloudCallQuota {
 public:
  // Both must outlive this object.
  CloudCallQuota(const Context* context, const ClusterSettings* settings)
      : context_(context), settings_(settings) {}

  // Calls a second that are used of the cloud's rate.
  double CallsPerS() const;

  // Takes one call, if one is left now.
  bool TryAcquire();

  // Calls that were made without asking first: they are missing later.
  void Charge(double calls) { available_ -= calls; }

 private:
  const Context* context_;
  const ClusterSettings* settings_;
  double available_ = 0;
  double refilled_at_ = 0;
};

}  // namespace sorrelwood
