// Constants of threads and queues.
#pragma once

#include <cstddef>

namespace sorrelwood {

// Stack of a thread that reads and answers requests: the library's buffers take
// 20 KiB.
inline constexpr size_t kConnectionThreadStackBytes = size_t{192} * 1024;

// Stack of every other thread.
inline constexpr size_t kThreadStackBytes = size_t{256} * 1024;

// Arenas of malloc: each further one costs memory that a small machine lacks.
inline constexpr int kMallocArenas = 2;

// Threads, each with a connection of its own, that send the leader's requests
// to the state service. Enough that one slow answer does not delay the next
// request.
inline constexpr int kLeaderStateThreads = 3;

// Threads that send submissions and cancellations to the state service, each
// with a connection of its own. Enough that one slow answer does not delay the
// next request.
inline constexpr int kUserStateThreads = 3;

// Threads that send quorum reads for polls to the state service, each with a
// connection of its own. Enough that one slow answer does not delay the next
// request.
inline constexpr int kPollStateThreads = 2;

// Threads that send provisioning and release calls to the cloud, each with a
// connection of its own. Enough that one slow answer does not delay the next
// call.
inline constexpr int kCloudChangeThreads = 3;

// Workers that may be connected for each thread that pushes commands. A zone
// that hangs leaves a third of the machines silent, each of which takes the
// whole time-out; all of them should be served within about one lease.
inline constexpr size_t kWorkersPerPushThread = 30;

inline constexpr size_t kMinPushThreads = 16;
inline constexpr size_t kMaxPushThreads = 128;

// How often the core is woken without an input.
inline constexpr double kTickIntervalS = 0.04;

// How often the core publishes its statistics as metrics: several times within
// the usual scrape interval.
inline constexpr double kMetricsIntervalS = 5.0;

// How long a connection's thread waits for the core's answer: less than a
// worker's 4 s and a user's 5 s.
inline constexpr double kCoreAnswerTimeoutS = 3.8;

// Retry-After when the core has not answered in time: short, since another
// controller may answer.
inline constexpr double kCoreLateRetryAfterS = 1.0;

// Retry-After when too many inputs are queued: longer, so that the queue can
// drain.
inline constexpr double kInputQueueFullRetryAfterS = 2.0;

}  // namespace sorrelwood
