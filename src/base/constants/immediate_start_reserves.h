// Constants of room kept for classes that start at once.
#pragma once

namespace sorrelwood {

// A class whose tasks must start within this time has room reserved for some of
// its usual jobs.
inline constexpr double kImmediateStartWithinS = 10.0;

// Work that has waited for this long may use the room reserved for services,
// which may preempt it again.
inline constexpr double kReserveYieldS = 30.0;

// Largest share of the slots (places for one task) of the whole fleet that is
// reserved for one class, services excepted.
inline constexpr double kReserveMaxShare = 0.12;

// Lower bound of the CPUs of a task when slots are counted.
inline constexpr double kMinTaskCpus = 0.1;

// Usual jobs of a class that its reserve holds.
inline constexpr double kReserveJobs = 1.0;

// Weight of one more job in the profile of its class.
inline constexpr double kClassProfileLearningRate = 0.2;

}  // namespace sorrelwood
