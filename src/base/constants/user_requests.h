// Constants of requests of users.
#pragma once

#include <cstddef>
#include <cstdint>

namespace sorrelwood {

// A submission or cancellation that still waits for the state service is
// answered 503 after this time: the user gives up after 5 s.
inline constexpr double kSubmitTimeoutS = 3.5;

// A poll that still waits for the state service is answered 503 after this
// time: the user gives up after 2 s.
inline constexpr double kPollTimeoutS = 1.5;

// Retry-After of a 503.
inline constexpr double kUnavailableRetryAfterS = 1.0;

// Retry-After of a 429 sent because too many requests are waiting.
inline constexpr double kTooManyRequestsRetryAfterS = 2.0;

// Polls that need a quorum read are batched into one transaction; the first one
// of a batch waits this long, or longer because of kQuorumReadRateShare.
inline constexpr double kQuorumReadBatchS = 0.08;

// Largest share of the state service's request rate that the quorum reads of
// all nodes use together.
inline constexpr double kQuorumReadRateShare = 0.3;

// Quorum reads of one node in flight: a slow answer does not delay the next
// batch, and reads do not pile up during an outage of the state service.
inline constexpr int kMaxQuorumReadsInFlight = 4;

// Share of the state service's request rate that all nodes together use to look
// up unknown jobs that users poll.
inline constexpr double kLookupRateShare = 0.2;

// Lookups that a node may make in any case.
inline constexpr double kMinLookupsPerS = 2.0;

// Polls that may wait for the state service at once; further ones get 429. They
// have a limit of their own, so that a burst of polls leaves room for
// submissions and cancellations.
inline constexpr size_t kMaxWaitingPolls = 120;

// Submissions and cancellations that may wait for the state service at once;
// further ones get 429.
inline constexpr size_t kMaxWaitingChanges = 80;

// Polls are rejected (429) while more inputs are queued for the core. More than
// a burst of heartbeats, less than a second's work on the smallest machine.
inline constexpr size_t kMinInputQueueLimit = 150;

// In a large fleet one input may be queued for each group of this many workers
// that may be connected, if that is more than kMinInputQueueLimit: a larger
// fleet sends larger bursts.
inline constexpr size_t kWorkersPerQueuedInput = 8;

// Final job states kept in memory; older ones are read again on request.
inline constexpr size_t kFinalStateCacheJobs = 20000;

inline constexpr uint32_t kMaxTasksPerJob = 100000;
inline constexpr size_t kMaxRequestBodyBytes = size_t{64} * 1024;

// Longest line of a response to a worker or a user (protocol).
inline constexpr size_t kMaxResponseLineBytes = size_t{64} * 1024;

// Longest id, and longest of most other strings that are parsed, such as names
// of classes, teams and images.
inline constexpr size_t kMaxIdBytes = 100;

// Digits of a task number in a task's name.
inline constexpr size_t kMaxTaskDigits = 6;

// Longest name of a task: the job's id, a slash and the task number.
inline constexpr size_t kMaxTaskNameBytes = kMaxIdBytes + 1 + kMaxTaskDigits;

// Longest key in the state service (protocol).
inline constexpr size_t kMaxStateKeyBytes = 200;

}  // namespace sorrelwood
