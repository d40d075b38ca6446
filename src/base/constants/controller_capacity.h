// Constants of the memory, sockets and threads of a controller.
#pragma once

#include <cstddef>

namespace sorrelwood {

// Sockets reserved for connections that this process opens: to the state
// service, the cloud, workers and the other controllers.
inline constexpr int kOutboundSockets = 100;

// Memory of all but the connections. Covers a leader of 300 machines and 250
// jobs with a reserve.
inline constexpr double kBaseMemoryMib = 22;

// Memory of a request that is being handled: its thread's stack and buffers,
// with a reserve.
inline constexpr double kRequestMemoryKib = 56;

// Memory of an open connection.
inline constexpr double kConnectionMemoryKib = 2;

// Memory of one of the leader's machines with about ten tasks on it, with a
// reserve.
inline constexpr double kMachineMemoryKib = 4;

// Threads that read and answer requests: more than the requests that may wait
// for the state service at once, and far fewer than the 2,000 that a process
// may have.
inline constexpr double kMaxRequestThreads = 320;

// Share of the request threads for workers, which are answered at once. A tenth
// is left for probes and for clients that have not sent a request yet.
inline constexpr double kWorkerThreadShare = 0.15;

// Share of the request threads for users.
inline constexpr double kUserThreadShare = 0.75;

// Share of all connections for workers. A tenth is left for probes and for
// clients that have not sent a request yet.
inline constexpr double kWorkerConnectionShare = 0.6;

// Share of all connections for users.
inline constexpr double kUserConnectionShare = 0.3;

// Settings that allow fewer connections are rejected: the controller would be
// of no use.
inline constexpr size_t kMinConnections = 40;

// Settings that allow fewer request threads are rejected: the controller would
// be of no use.
inline constexpr size_t kMinRequestThreads = 16;

}  // namespace sorrelwood
