// Constants of estimates of tasks' run times.
#pragma once

namespace sorrelwood {

// Lower bound of the estimate that a job's owner gives, and of the time that a
// running task is expected to go on.
inline constexpr double kMinEstimateS = 1.0;

// Largest factor, up or down, by which the owners' estimates of a class are
// corrected.
inline constexpr double kMaxEstimateCorrectionRatio = 3.0;

// Weight of one more completed task in the correction of a class.
inline constexpr double kEstimateLearningRate = 0.02;

// Estimate for a service, which runs until it is cancelled: longer than any
// planning window.
inline constexpr double kServiceEstimateS = 1e5;

}  // namespace sorrelwood
