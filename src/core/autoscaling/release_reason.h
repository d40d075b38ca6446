// Why a machine is released to the cloud.
#pragma once

#include <string>

namespace sorrelwood {

enum class ReleaseReason {
  kIdle,               // idle for longer than idle_release_delay_s
  kFaulty,             // quarantined: tasks fail because of the machine
  kBootTimeout,        // it sent no heartbeat in time
  kPreempted,          // an empty spot machine under a preemption notice
  kFailedInCloud,      // the inventory shows it as failed
  kMissingAtTakeover,  // recorded by an earlier leader, not in the inventory
  kLeftInventory,      // it was in the inventory and no longer is
  kBlocksRecovery,     // failover recovery waits for its reconciliation
  kUnreachable,        // heartbeats arrive, responses do not
  kSilent,             // no heartbeats
  kLongUnreachable,    // silent or unreachable beyond its lease
};

// The text of the field `reason` in the log line "releasing machine".
std::string ReleaseReasonText(ReleaseReason reason);

}  // namespace sorrelwood
