// Upper bounds of the sizes of messages between workers and controllers. The
// protocol bounds a request body and each line of a response; all messages here
// are a single line.
#pragma once

#include <cstddef>
#include <string>

#include "base/constants/user_requests.h"
#include "base/constants/workers.h"
#include "core/model/heartbeat.h"

namespace sorrelwood::protocol {

// Upper bound of the entry of one task attempt in a worker's report without the
// job's id: the longest state and cause, field names, separators with spaces,
// and the longest task and attempt numbers.
inline constexpr size_t kReportedTaskOverheadBytes = 112;

// Bytes that the entry of one task attempt takes in a worker's report, at most:
// in every state, with spaces after separators and the longest attempt number.
// The id is a valid one, which needs no escapes.
size_t MaxReportedTaskBytes(const std::string& job_id);

// MaxReportedTaskBytes of the longest job id.
inline constexpr size_t kMaxReportedTaskBytes =
    kReportedTaskOverheadBytes + kMaxIdBytes;

// Bytes that all entries of a report may take together, so that the report
// stays within a request body.
inline constexpr size_t kReportedTasksCapacityBytes =
    kMaxRequestBodyBytes - kReportOverheadBytes;

// Every job whose id is accepted can be reported.
static_assert(kMaxReportedTaskBytes <= kReportedTasksCapacityBytes);

// Bytes that the command takes in an encoded list of commands, at most.
size_t MaxCommandBytes(const Command& command);

// Bytes that all commands of a response or a push may take together.
inline constexpr size_t kCommandsCapacityBytes =
    kMaxResponseLineBytes - kCommandListOverheadBytes;

}  // namespace sorrelwood::protocol
