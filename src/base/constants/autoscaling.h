// Constants of renting and returning machines.
#pragma once

#include <cstddef>

namespace sorrelwood {

// How often scale-out and scale-in are planned: each plan visits all machines
// and jobs.
inline constexpr double kPlanIntervalS = 1.0;

// How far rounding may take a quotient of CPUs below the whole number of tasks
// that fits (tasks).
inline constexpr double kTaskCountRounding = 1e-6;

// An offer is premium when it costs this many times as much as the cheapest.
inline constexpr double kPremiumPriceRatio = 1.6;

// Premium machines are provisioned for a job when all work up to and including
// it takes more than this many times the time that its deadline or objective
// leaves.
inline constexpr double kPremiumOverrunRatio = 2.0;

// A deadline or objective that leaves fewer boot times does not justify a
// premium machine: it would be up too late.
inline constexpr double kPremiumMinBootTimes = 1.0;

// Machines are excess only while the capacity of the others is at least this
// many times the demand.
inline constexpr double kExcessCapacityRatio = 1.0;

// Free capacity that the other machines must have for a machine to be drained,
// as a multiple of the capacity that moves.
inline constexpr double kDrainFreeCapacityRatio = 1.3;

// A machine at an ordinary price is drained when at most this share of its CPUs
// is in use.
inline constexpr double kDrainMaxUsedShare = 0.5;

// Grace period of a drained task beyond the time that it needs to save a
// checkpoint.
inline constexpr double kDrainGraceMarginS = 1.0;

// A task may be stopped to be moved or preempted if it saves its checkpoint
// within this time.
inline constexpr double kMaxCheckpointSaveS = 5.0;

// A task may be stopped to be moved or preempted once it has run for longer
// than this: a start that is undone within 30 s counts for no objective.
inline constexpr double kMinRunBeforeMoveS = 32.0;

// A booting machine counts in full as capacity for this many boot times of its
// type, which covers the usual variation.
inline constexpr double kFullCreditBootTimes = 1.5;

// A booting machine does not count as capacity after this many boot times.
inline constexpr double kNoCreditBootTimes = 3.0;

// A boot may time out after this many boot times (see kBootTimeoutPeers).
inline constexpr double kBootTimeoutBootTimes = 1.8;

// A boot times out after kBootTimeoutBootTimes when this many machines of the
// type that were provisioned no earlier are up: a new machine would be up
// sooner.
inline constexpr size_t kBootTimeoutPeers = 3;

// A boot times out in any case after this many boot times.
inline constexpr double kBootTimeoutMaxBootTimes = 6.0;

// No boot times out before this time.
inline constexpr double kBootTimeoutMinS = 30.0;

}  // namespace sorrelwood
