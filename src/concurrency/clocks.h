// The clocks of the process. The core never reads them: its inputs carry the
// time.
#pragma once

#include <chrono>

namespace sorrelwood {

// Seconds of a clock that never jumps, from an arbitrary start.
inline double SteadyNow() {
  return std::chrono::duration<double>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

// Seconds since 1970 of a clock that may be set.
inline double WallNow() {
  return std::chrono::duration<double>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace sorrelwood
