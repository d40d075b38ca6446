// Constants of workers, their heartbeats and their machines.
#pragma once

#include <cstddef>

namespace sorrelwood {

// Upper bound of the size of a worker's report without its tasks: four names of
// kMaxIdBytes, which may be escaped, and five numbers.
inline constexpr size_t kReportOverheadBytes = size_t{3} * 1024;

// Upper bound of the size of a list of commands without the commands.
inline constexpr size_t kCommandListOverheadBytes = 128;

// Pause before a new leader retries a failed read of its records.
inline constexpr double kRecoveryRetryS = 0.3;

// How often the contact with all machines is checked: several times in one
// heartbeat interval, so that silence is noticed soon.
inline constexpr double kHealthCheckIntervalS = 0.5;

// A machine is silent after this many heartbeat intervals without contact.
inline constexpr double kSilentHeartbeatIntervals = 4.5;

// Silent machines are released early only while they are at most this share of
// the fleet, or a single machine: beyond it the fault is more likely the
// leader's own network.
inline constexpr double kEarlyReleaseMaxShare = 0.34;

// Time that a worker may need to stop its tasks once its lease has expired.
inline constexpr double kMaxWorkerStopS = 1.0;

// A lost machine is released this long after its lease has expired.
inline constexpr double kUnreachableReleaseDelayS = 3.0;

// Where early release is not allowed, a lost machine is released this many
// worker leases later: many lost machines are likely to come back.
inline constexpr double kLongLostWorkerLeases = 2.0;

// How often the fencing token is pushed to a machine that is silent or has not
// acknowledged it in time.
inline constexpr double kPushIntervalS = 1.0;

// Time-out of the response to pushed commands.
inline constexpr double kPushTimeoutS = 1.5;

// Heartbeat intervals after a failover within which a reachable machine has
// acknowledged the new fencing token: its next heartbeat, the one that it sends
// at once on seeing the token, and a reserve. After that the token is pushed.
inline constexpr double kTokenAckHeartbeatIntervals = 2.0;

// Machines that block failover recovery are released only while they are at
// most this share of the fleet, or a single machine: if there are more, they
// are likely to be cut off.
inline constexpr double kBlockingMachineMaxShare = 0.05;

// Cores, and GPUs, that a machine of unknown type counts against each team's
// limit while it may run unknown tasks: more than any limit.
inline constexpr double kUnknownTypeCapacity = 1e9;

// A machine is quarantined when, since a task last succeeded there, this many
// attempts failed of jobs that succeed elsewhere.
inline constexpr int kQuarantineFailedAttempts = 2;

// A machine is also quarantined when, since a task last succeeded there,
// attempts failed of this many jobs that have not succeeded anywhere yet.
inline constexpr size_t kQuarantineFailingJobs = 3;

// A job that has succeeded nowhere and failed on this many machines is tried
// one task at a time.
inline constexpr size_t kFailingJobMachines = 2;

// A job that has succeeded nowhere and failed on this many machines is
// considered the cause itself, and no machine is.
inline constexpr size_t kBrokenJobMachines = 3;

// A task that fails this often while its job succeeds is considered the cause
// itself.
inline constexpr int kBrokenTaskFailures = 3;

// Base of the exponential backoff. A failing job (kFailingJobMachines)
// pauses for twice this after the first failed round, four times this after the
// second, and so on. A replica is restarted without a pause after its first
// early end, and after this pause after the second. A job that a worker does
// not know is retried after this pause.
inline constexpr double kJobRetryPauseS = 2.0;

// The longest pause of the backoff.
inline constexpr double kJobRetryPauseMaxS = 60.0;

// Most doublings of kJobRetryPauseS that are computed: with that many the pause
// already exceeds kJobRetryPauseMaxS.
inline constexpr int kJobRetryPauseMaxDoublings = 10;

// How long a job avoids a machine that it failed on.
inline constexpr double kSuspectMachineAvoidS = 20.0;

// A quarantined machine on which only jobs failed that have not succeeded
// anywhere yet is kept for this duration before its release, while these jobs
// are tried elsewhere.
inline constexpr double kSuspectReleaseDelayS = 20.0;

// A machine that refused a start for lack of room gets no tasks for this
// duration.
inline constexpr double kRefusedStartPauseS = 3.0;

// After a preemption notice a task runs on if it is expected to end within this
// share of the time left: estimates are inaccurate.
inline constexpr double kEndsBeforePreemptionShare = 0.5;

// How often the leader checks tasks at the speculation limit, replicas on
// departing machines and preemption for guarantees.
inline constexpr double kPolicyIntervalS = 1.0;

}  // namespace sorrelwood
