#include "protocol/client_codec.h"

#include "protocol/field_names.h"
#include "protocol/job_spec_codec.h"
#include "protocol/json_reader.h"

namespace sorrelwood::protocol {
namespace {

const char* JobStatusName(JobStatus status) {
  switch (status) {
    case JobStatus::kQueued: return enum_name::kQueued;
    case JobStatus::kRunning: return enum_name::kRunning;
    case JobStatus::kDone: return enum_name::kDone;
    case JobStatus::kCancelled: return enum_name::kCancelled;
  }
  return enum_name::kQueued;
}

}  // namespace

ParseResult<JobSpec> ParseSubmission(const std::string& body) {
  const Json object = ParseJson(body);
  if (object.is_discarded()) return MakeParseError("", "the body is not JSON");
  if (!object.is_object())
    return MakeParseError("", "the body is not a JSON object");
  return ReadJobSpec(object, JobSpecSource::kSubmission);
}

std::string EncodeJobStatus(const std::string& id, JobStatus status) {
  return WriteJson({{field::kId, id}, {field::kStatus, JobStatusName(status)}});
}

std::string EncodeJobStatus(JobStatus status, const JobCounts& counts) {
  return WriteJson({{field::kId, counts.id},
                    {field::kStatus, JobStatusName(status)},
                    {field::kDoneTasks, counts.done},
                    {field::kRunningTasks, counts.running}});
}

std::string EncodeError(const std::string& message) {
  return WriteJson({{field::kError, message}});
}

}  // namespace sorrelwood::protocol
