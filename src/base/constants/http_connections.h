// Constants of connections of the HTTP server.
#pragma once

namespace sorrelwood {

// Events that one call of epoll_wait returns: a burst of a large fleet needs a
// few calls, and the buffer stays small.
inline constexpr int kMaxEpollEvents = 64;

// How long a connection of a user or a probe may stay open without a request.
inline constexpr double kIdleConnectionTimeoutS = 75.0;

// How often connections are checked for the idle time-out.
inline constexpr double kIdleCheckIntervalS = 1.0;

// A whole request must be read, and a whole answer written, within this time.
inline constexpr double kRequestTransferTimeoutS = 5.0;

// Connections that may wait to be accepted.
inline constexpr int kMinListenBacklog = 256;

// One more connection may wait to be accepted for this number of workers that
// may be connected: all workers of a large fleet connect to a new leader within
// half a second.
inline constexpr int kWorkersPerBacklogEntry = 4;

}  // namespace sorrelwood
