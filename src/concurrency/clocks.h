// The clocks of the process. The core never reads them; it receives the time
// with each input.
#pragma once

#include <chrono>

namespace sorrelwood {

// Seconds of the monotonic clock, since an arbitrary point in time.
inline double SteadyNow() {
  return std::chrono::duration<double>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

// Seconds since 1970 of the system clock, which may be adjusted at any time.
inline double WallNow() {
  return std::chrono::duration<double>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace sorrelwood
