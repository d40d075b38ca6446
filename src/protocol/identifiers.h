// Identifiers of jobs and tasks in the published protocol (POST /submissions).
#pragma once

#include <optional>
#include <string>

#include "core/model/job.h"

namespace sorrelwood::protocol {

// Whether `id` is "job-" followed by one or more letters, digits and dashes, at
// most kMaxIdBytes bytes in total.
bool IsValidJobId(const std::string& id);

// Returns the name of a task, such as "job-000412/3".
std::string FormatTaskName(const std::string& job, uint32_t task);

// Parses a job id, a slash and a task number of one to six digits. Returns
// nullopt for any other form. The job id itself is not validated.
std::optional<TaskId> ParseTaskName(const std::string& name);

}  // namespace sorrelwood::protocol
