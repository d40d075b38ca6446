// Constants of placement passes.
#pragma once

#include <cstddef>

namespace sorrelwood {

// How often queued tasks are matched with machines.
inline constexpr double kPlacementIntervalS = 0.1;

// Amounts of CPUs or memory (cores, GB) that differ by less are equal: sums of
// many tasks of a fraction of a core each drift by rounding.
inline constexpr double kResourceRounding = 1e-6;

// Grace period of a stopped task beyond the time that it needs to save a
// checkpoint; after it the worker kills the task.
inline constexpr double kSaveGraceMarginS = 1.0;

// Jobs from the front of the queue that one placement pass considers.
inline constexpr size_t kJobsPerPass = 64;

// Jobs of each team that a pass considers in any case.
inline constexpr size_t kMinJobsPerTeamPerPass = 12;

// With more candidate machines a pass considers a sample of this size.
inline constexpr size_t kSampleMachines = 400;

// Jobs from the front of a pass whose images matter for the sample: machines of
// the baseline and machines that hold one of these images are taken first.
inline constexpr size_t kSampleImageJobs = 8;

// A fetch that takes more than this share of a task's run time is long: a
// machine that has the image is preferred to a better fit.
inline constexpr double kLongFetchShare = 0.1;

}  // namespace sorrelwood
