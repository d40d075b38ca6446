#include "core/autoscaling/release_reason.h"

namespace sorrelwood {

std::string ReleaseReasonText(ReleaseReason reason) {
  switch (reason) {
    case ReleaseReason::kIdle: return "idle";
    case ReleaseReason::kFaulty: return "faulty";
    case ReleaseReason::kBootTimeout: return "boot timeout";
    case ReleaseReason::kPreempted: return "preemption notice";
    case ReleaseReason::kFailedInCloud: return "failed in the cloud";
    case ReleaseReason::kMissingAtTakeover:
      return "not in the inventory after takeover";
    case ReleaseReason::kLeftInventory: return "no longer in the inventory";
    case ReleaseReason::kBlocksRecovery: return "blocks failover recovery";
    case ReleaseReason::kUnreachable: return "unreachable";
    case ReleaseReason::kSilent: return "silent";
    case ReleaseReason::kLongUnreachable: return "unreachable for long";
  }
  return "";
}

}  // namespace sorrelwood
