// Constants of load spread.
#pragma once

#include <cstddef>
#include <cstdint>

namespace sorrelwood {

// How often moves of running tasks are considered: a heartbeat interval, since
// moves wait for heartbeats.
inline constexpr double kRebalanceIntervalS = 2.0;

// Machines drawn as destinations of one move, of which the best is taken: more
// gain little (the power of d choices).
inline constexpr size_t kMoveChoices = 8;

// A task expected to end sooner is not moved: a stop, a fetch and a start take
// as long as it has left.
inline constexpr double kMinRemainingRunForMoveS = 20.0;

// A machine is slow when its tasks take this many times as long as others of
// their jobs. Machines of one type differ by a tenth.
inline constexpr double kSlowMachineRatio = 1.7;

// Weight of one more task in the smoothed ratio of a machine.
inline constexpr double kSpeedLearningRate = 0.3;

// Tasks of a machine that must have been compared before it counts as slow.
inline constexpr uint64_t kMinSpeedSamples = 4;

// Run times of a job's tasks on different machines are compared with their mean
// once this many of its tasks have completed.
inline constexpr uint64_t kMinTasksForMeanRun = 5;

// Run times are not compared if their mean is shorter: the interval of
// heartbeats makes it inaccurate.
inline constexpr double kMinMeanRunS = 4.0;

}  // namespace sorrelwood
