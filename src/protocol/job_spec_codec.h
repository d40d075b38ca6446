// Job specifications, with the field names of POST /submissions. They are part
// of submissions and of the stored records of unfinished jobs.
#pragma once

#include "core/model/job.h"
#include "protocol/json_reader.h"

namespace sorrelwood::protocol {

// The origin of a specification, which decides which fields may be absent.
enum class JobSpecSource {
  kSubmission,  // only fields that may be null
  kRecord,      // also fields that earlier versions did not write
};

// Returns the job specification, or an error for the first invalid field.
ParseResult<JobSpec> ReadJobSpec(const Json& object, JobSpecSource source);

// Returns a JSON object that omits optional fields that are not set.
Json WriteJobSpec(const JobSpec& spec);

}  // namespace sorrelwood::protocol
