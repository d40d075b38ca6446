// Limits the rate at which polls may read jobs that are not in the cache.
#pragma once

#include "core/engine/context.h"
#include "core/model/settings.h"

namespace sorrelwood {

// A token bucket with a capacity of one second's reads. Polls for jobs that
// were never submitted or ended long ago would otherwise use up the request
// rate of the state service that lease renewals and the leader's writes need.
class LookupQuota {
 public:
  // Both arguments must outlive this object.
  LookupQuota(const Context* context, const ClusterSettings* settings)
      : context_(context), settings_(settings) {}

  // Takes one read from the quota; false if none is available now.
  bool TryAcquire();

 private:
  const Context* context_;
  const ClusterSettings* settings_;
  double available_reads_ = 0;
  double refilled_at_ = 0;  // steady clock, s
};

}  // namespace sorrelwood
