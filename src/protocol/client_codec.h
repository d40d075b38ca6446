// Messages between users and controllers: submissions of jobs, and the answers
// to submissions, polls and cancellations (POST /submissions,
// GET /submissions/{id}, POST /submissions/{id}/cancel).
#pragma once

#include <string>

#include "base/parse_error.h"
#include "core/model/job.h"

namespace sorrelwood::protocol {

// What a user is told about a job.
enum class JobStatus {
  kQueued,   // accepted, and no task runs
  kRunning,  // at least one task runs
  kDone,
  kCancelled,
};

// Returns the job that the body of a submission describes. The error's message
// is the text of the 400 that the user gets.
ParseResult<JobSpec> ParseSubmission(const std::string& body);

// Returns the answer that gives a job's status alone.
std::string EncodeJobStatus(const std::string& id, JobStatus status);

// Returns the answer to a poll for an unfinished job, with its numbers of
// tasks.
std::string EncodeJobStatus(JobStatus status, const JobCounts& counts);

// Returns the body of an answer that is an error. Workers get the same.
std::string EncodeError(const std::string& message);

}  // namespace sorrelwood::protocol
