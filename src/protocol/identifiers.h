// Identifiers of jobs and tasks in the published protocol (POST /submissions).
#pragma once

#include <optional>
#include <string>

#include "core/model/job.h"

namespace sorrelwood::protocol {

// True for "job-" followed by letters, digits and dashes, of at most
// kMaxIdBytes bytes in all.
bool IsValidJobId(const std::string& id);

// Returns the name of a task, such as "job-000412/3".
std::string TaskName(const std::string& job, uint32_t task);

// Returns the job and the task's number; nothing if `name` is not a job, a
// slash and one to six digits. The job's id is not checked.
std::optional<TaskId> ParseTaskName(const std::string& name);

}  // namespace sorrelwood::protocol
