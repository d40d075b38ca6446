// One attempt at running a task on a machine, as the leader tracks it.
#pragma once

#include <cstdint>
#include <memory>

#include "core/model/heartbeat.h"
#include "core/model/stored_records.h"

namespace sorrelwood {

// How much is known of an attempt's presence on its machine.
enum class AttemptPhase {
  kPlanned,     // placed in memory only: may be withdrawn at no cost
  kDispatched,  // the start command was sent; it may or may not have arrived
  kConfirmed,   // the worker has reported the attempt
};

// From the second phase on it counts as present on the machine until there is
// proof of its absence.
struct TaskAttempt {
  // Unique for the task: the leader's term in the upper half, see
  // docs/design.md.
  uint64_t number = 0;
  double cpus = 0, gpus = 0, memory_gb = 0;  // that it uses on the machine
  std::shared_ptr<const LiveJob> record;     // of its job, never null
  AttemptPhase phase = AttemptPhase::kPlanned;
  // The heartbeat whose response carried the start command, and when it was
  // sent (steady clock, s).
  HeartbeatId dispatched_in_response_to;
  double dispatched_at = 0;
  TaskState state = TaskState::kFetching;  // as last reported
  double running_since = 0;  // steady clock, s; 0: not running yet
  // On rented capacity and subject to the speculation limit
  // (PolicySettings::speculation_s).
  bool speculative = false;
  // Run time (s) of earlier attempts that were moved: it counts towards the
  // speculation limit too.
  double ran_before_s = 0;
  // A stop command is sent with each response until the attempt has ended.
  bool stop = false;
  double stop_grace_s = 0;  // for writing a checkpoint
  // Killed at the speculation limit: wait for baseline capacity, or run to the
  // end on rented capacity.
  bool requeue_for_baseline = false;
  bool requeue_on_rented = false;
  bool stable = false;     // a replica that has run for kReplicaStableS
  bool job_active = true;  // false: its job has ended, the attempt must stop
};

}  // namespace sorrelwood
