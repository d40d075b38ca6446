// Why a machine is released to the cloud.
#pragma once

#include <string>

namespace sorrelwood {

enum class ReleaseReason {
  kIdle,               // no work for the operators' hold time
  kFaulty,             // quarantined: tasks fail because of the machine
  kBootTimeout,        // it never sent a heartbeat
  kPreempted,          // spot machine under a preemption notice, and empty
  kFailedInCloud,      // the inventory shows it as failed
  kMissingAtTakeover,  // recorded by an earlier leader, not in the inventory
  kLeftInventory,      // it was in the inventory and no longer is
  kBlocksRecovery,     // after a failover, tasks wait for it to reconcile
  kUnreachable,        // heartbeats arrive, responses do not
  kSilent,             // no heartbeats
  kLongUnreachable,    // silent or unreachable past its lease
};

// The text of the field `reason` in the log event "releasing machine".
std::string ReleaseReasonText(ReleaseReason reason);

}  // namespace sorrelwood
