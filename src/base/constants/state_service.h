// Constants of requests to the state service and the records kept there.
#pragma once

#include <cstddef>
#include <cstdint>

namespace sorrelwood {

// Time-out of a request. An answer takes a few hundred milliseconds now and
// then.
inline constexpr double kStateRequestTimeoutS = 2.0;

inline constexpr double kLeaseRenewalTimeoutS = 1.2;

// Share of the service's request rate that the watches of all nodes use while
// changes come in quick succession: each answer starts the next watch.
inline constexpr double kWatchRequestRateShare = 0.2;

// Duration of one watch; short, so that a dead connection is noticed.
inline constexpr double kWatchDurationS = 2.0;

// Time beyond kWatchDurationS after which a watch times out.
inline constexpr double kWatchTimeoutMarginS = 3.0;

// Completed tasks and ended jobs are collected for this duration before they
// are written.
inline constexpr double kCompletionBatchS = 0.25;

// Share of the service's write rate that the leader uses; the rest is for
// submissions and cancellations.
inline constexpr double kLeaderWriteShare = 0.65;

// Pause after a failed write.
inline constexpr double kWriteRetryS = 0.3;

// Largest transaction (protocol: 64 KiB) less what precedes its entries.
inline constexpr size_t kMaxTransactionBytes = size_t{63} * 1024;

// Upper bound of the size of one key's precondition without the key: field
// names and a version.
inline constexpr size_t kPreconditionOverheadBytes = 40;

// Upper bound of the size of one mutation without key and value.
inline constexpr size_t kMutationOverheadBytes = 56;

// Largest value that a transaction can hold beside the keys and preconditions
// of a submission.
inline constexpr size_t kMaxValueBytes = size_t{60} * 1024;

// Tasks whose completion is stored under one key: 16,384 bits are 4 KiB in
// hexadecimal.
inline constexpr uint32_t kTasksPerCompletionRecord = 16384;

// Where a completion record exceeds the size limit of a value, it is split into
// parts with a key each. Most tasks of a part: 1 KiB in hexadecimal.
inline constexpr uint32_t kMaxTasksPerCompletionPart = 4096;

// Fewest tasks of a part of a completion record.
inline constexpr uint32_t kMinTasksPerCompletionPart = 64;

// Upper bound of the size of a part of a completion record without its bits.
inline constexpr size_t kCompletionPartOverheadBytes = 64;

inline constexpr uint32_t kTasksPerHexDigit = 4;

// Preconditions that a transaction may have for each mutation (protocol).
inline constexpr size_t kMaxPreconditionsPerMutation = 4;

// Upper bound of the size of a provisioning request's record without the names
// of its machines.
inline constexpr size_t kProvisioningRecordOverheadBytes = 320;

// Upper bound of the size of one machine name in a provisioning request's
// record.
inline constexpr size_t kMachineNameMaxBytes = 24;

// Items requested in one listing: the service's maximum, since a takeover reads
// the records of the whole fleet.
inline constexpr int kListPageItems = 1000;

// A node is cut off from the state service when at least half of all nodes were
// served more than this long after the service began to refuse this one.
inline constexpr double kCutOffThresholdS = 1.0;

}  // namespace sorrelwood
