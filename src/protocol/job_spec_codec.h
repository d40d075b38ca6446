// The description of a job, with the field names of POST /submissions. Users
// submit it, and records of unfinished jobs hold it.
#pragma once

#include "core/model/job.h"
#include "protocol/json_reader.h"

namespace sorrelwood::protocol {

// Where a description was written, which decides what it may lack.
enum class JobSpecSource {
  kSubmission,  // only fields that may be null may be absent
  kRecord,      // also those that earlier versions left out
};

// Returns the job that `object` describes, or the first field that is wrong.
ParseResult<JobSpec> ReadJobSpec(const Json& object, JobSpecSource source);

// Returns an object without the optional fields that are not set.
Json WriteJobSpec(const JobSpec& spec);

}  // namespace sorrelwood::protocol
