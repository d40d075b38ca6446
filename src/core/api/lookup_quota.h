// The rate at which polls may read jobs that are not in the cache.
#pragma once

#include "core/engine/context.h"
#include "core/model/settings.h"

namespace sorrelwood {

// A token bucket that holds one second's reads. Prevents polls for jobs that
// nobody submitted, or that ended long ago, from taking the state service's
// requests from lease renewals and the leader's writes.
class LookupQuota {
 public:
  // Both must outlive this object.
  LookupQuota(const Context* context, const ClusterSettings* settings)
      : context_(context), settings_(settings) {}

  // Takes one read, if one is left now.
  bool TryAcquire();

 private:
  const Context* context_;
  const ClusterSettings* settings_;
  double available_ = 0;
  double refilled_at_ = 0;
};

}  // namespace sorrelwood
