// One attempt at running a task on a machine, as the leader tracks it.
#pragma once

#include <cstdint>
#include <memory>

#include "core/jobs/task_resources.h"
#include "core/model/heartbeat.h"
#include "core/model/stored_records.h"

namespace sorrelwood {

// What is known of an attempt's presence on its machine.
enum class AttemptPhase {
  kPlanned,     // placed in memory only: can be withdrawn at no cost
  kDispatched,  // the start command was sent; it may or may not have arrived
  kConfirmed,   // the worker has reported the attempt
};

// Once dispatched, an attempt counts as present on its machine until there is
// proof of its absence.
struct TaskAttempt {
  // Unique for the task. The upper half is the leader's term, see
  // docs/design.md.
  uint64_t number = 0;
  TaskResources resources;                // used on the machine
  std::shared_ptr<const LiveJob> record;  // its job's record, never null
  AttemptPhase phase = AttemptPhase::kPlanned;
  // The heartbeat whose response carried the start command, and when it was
  // sent (steady clock, s).
  HeartbeatId dispatched_in_response_to;
  double dispatched_at = 0;
  TaskState state = TaskState::kFetching;  // as last reported
  double running_since = 0;  // steady clock, s; 0: not running yet
  // The attempt runs on rented (not baseline) capacity and is subject to the
  // speculation limit (PolicySettings::speculation_limit_s).
  bool speculative = false;
  // Run time of earlier attempts of the task that were moved. It counts towards
  // the speculation limit too.
  double ran_before_s = 0;
  // The attempt must stop: the command is sent with each response until the
  // attempt has ended.
  bool stop = false;
  double stop_grace_s = 0;  // time to save a checkpoint; 0: killed at once
  // Stopped at the speculation limit: the task then waits for baseline
  // capacity.
  bool requeue_for_baseline = false;
  // Stopped at the speculation limit: the task then runs to its end on rented
  // capacity.
  bool requeue_on_rented = false;
  bool stable = false;     // it is a replica that has run for kReplicaStableS
  bool job_active = true;  // false: its job has ended, the attempt must stop
};

}  // namespace sorrelwood
