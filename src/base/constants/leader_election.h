// Constants of leader election and the leader's lease.
#pragma once

namespace sorrelwood {

// Long enough to survive a slow answer of the state service, short enough that
// a takeover ends well within the workers' lease.
inline constexpr double kLeaderLeaseS = 4.0;

inline constexpr double kLeaderLeaseRenewIntervalS = 0.9;

// The leader sends no start command when less than this remains of its lease.
inline constexpr double kDispatchLeaseMarginS = 0.6;

// The leader sends no start command when its job cache was last synchronized
// longer ago. Covers one watch that has ended, the next one in flight, and one
// second for a slow answer.
inline constexpr double kDispatchMaxCacheAgeS = 5.0;

// Pause between two attempts to acquire the leader key. After a failed attempt
// a random part of up to the same length is added, so that nodes do not
// collide.
inline constexpr double kElectionRetryS = 0.4;

// A leader resigns when it is in contact with less than this share of its
// machines.
inline constexpr double kResignReachableShare = 0.35;

// With fewer machines a leader does not resign for lack of contact.
inline constexpr int kResignMinMachines = 3;

// From this number of machines on, a leader that has lost contact with nearly
// all of them resigns early.
inline constexpr int kFastResignMinMachines = 10;

// Heartbeat intervals without contact after which a machine counts as lost for
// an early resignation: it should have sent two heartbeats.
inline constexpr double kFastResignHeartbeatIntervals = 2.5;

// A leader resigns early when it is in contact with less than this share of its
// machines.
inline constexpr double kFastResignReachableShare = 0.05;

// After its resignation a leader does not stand for election for this duration,
// so that another node can take over.
inline constexpr double kResignPauseS = 8.0;

// Shortest time between two resignations of a node.
inline constexpr double kMinResignIntervalS = 90.0;

// Within kMinResignIntervalS of its resignation a node joins an election this
// much later than the others, which is two or three of their attempts.
inline constexpr double kResignedElectionDelayS = 2.0;

// A longer gap between two inputs of the core, which is woken every
// kTickIntervalS, means that the process was paused and received no messages.
inline constexpr double kProcessPauseThresholdS = 1.0;

// Allowance for a slow thread and the network. A leader without contact to the
// state service stops renewing worker leases this much earlier than
// cancel_deadline_s requires, and a start command counts as lost this much
// later than the time-outs require.
inline constexpr double kWorkerLeaseMarginS = 2.0;

// A worker drops answers to heartbeats that take longer (protocol).
inline constexpr double kHeartbeatAnswerTimeoutS = 4.0;

}  // namespace sorrelwood
