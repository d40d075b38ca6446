// Makes records of jobs for tests.
#pragma once

#include <string>

#include "core/model/stored_records.h"

namespace sorrelwood::test {

// A job of one task of one core, as any controller accepts it.
inline LiveJob MakeSmallJob(const std::string& id) {
  LiveJob job;
  job.spec.id = id;
  job.spec.job_class = "class";
  job.spec.team = "team";
  job.spec.tasks = 1;
  job.spec.cpus = 1;
  job.spec.memory_gb = 1;
  job.spec.estimate_s = 30;
  return job;
}

}  // namespace sorrelwood::test
