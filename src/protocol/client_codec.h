// Messages between users and controllers: submissions of jobs, and the answers
// to submissions, polls and cancellations (POST /submissions,
// GET /submissions/{id}, POST /submissions/{id}/cancel).
#pragma once

#include <string>

#include "base/parse_error.h"
#include "core/model/job.h"

namespace sorrelwood::protocol {

// The status of a job as it is reported to users.
enum class JobStatus {
  kQueued,   // accepted; no task runs
  kRunning,  // at least one task runs
  kDone,
  kCancelled,
};

// Parses the body of a submission. The error's message becomes the text of the
// 400 response.
ParseResult<JobSpec> ParseSubmission(const std::string& body);

// Returns the answer with a job's status only.
std::string EncodeJobStatus(const std::string& id, JobStatus status);

// Returns the answer to a poll for an unfinished job, with the numbers of its
// done and running tasks.
std::string EncodeJobStatus(JobStatus status, const JobCounts& counts);

// Returns the body of an error response, for users and workers.
std::string EncodeError(const std::string& message);

}  // namespace sorrelwood::protocol
