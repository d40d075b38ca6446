// Constants of the clocks of machines.
#pragma once

namespace sorrelwood {

// Relative drift between two steady clocks: each drifts by up to 0.05 %, and
// their sum is doubled for safety.
inline constexpr double kMaxClockDriftRatio = 0.002;

}  // namespace sorrelwood
