// Constants of the debug log.
#pragma once

namespace sorrelwood {

// How often the teams are described in the debug log.
inline constexpr double kDebugLogIntervalS = 5.0;

}  // namespace sorrelwood
