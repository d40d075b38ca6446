// Which jobs and machines one placement pass looks at: bounds what a pass
// costs, whatever the length of the queue and the size of the fleet.
#pragma once

#include <vector>

#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/scheduling/admission.h"

namespace sorrelwood {

// The first jobs of the queue that may have a task started: kJobsPerPass of them,
// and beyond those kMinJobsPerTeamPerPass of each team. Sets quota aside for services
// first.
std::vector<Job*> SelectJobs(Context* context, JobTable* jobs,
                             const ClusterSettings& settings,
                             Admission* admission);

// Cuts the candidates to kSampleMachines drawn at random, where there are more.
// Owned machines, and those that hold an image of the first kSampleImageJobs
// jobs, come into the sample first.
void SampleMachines(Context* context, const std::vector<Job*>& jobs,
                    std::vector<Machine*>* candidates);

}  // namespace sorrelwood
