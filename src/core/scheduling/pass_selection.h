// Selects the jobs and machines that one placement pass considers. This bounds
// the cost of a pass, whatever the queue length and the number of machines.
#pragma once

#include <vector>

#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/scheduling/admission.h"

namespace sorrelwood {

// Reserves quota for services, then returns the first jobs of the queue that
// may start a task: kJobsPerPass of them, and further ones until each team has
// kMinJobsPerTeamPerPass.
std::vector<Job*> SelectJobs(Context* context, JobTable* jobs,
                             const ClusterSettings& settings,
                             Admission* admission);

// Reduces more than kSampleMachines candidates to a random sample of this size.
// The sample prefers owned machines and machines that hold an image of the
// first kSampleImageJobs jobs.
void SampleMachines(Context* context, const std::vector<Job*>& jobs,
                    std::vector<Machine*>* candidates);

}  // namespace sorrelwood
