// Objective slack: how long a job can still wait without missing its deadline
// or the service-level objectives of its class.
#pragma once

#include <vector>

#include "core/jobs/job.h"
#include "core/model/settings.h"

namespace sorrelwood {

// Returns the time (s) that the job's last task may still wait before the next
// attainable objective is missed. If all objectives are missed, returns the
// negative time since the latest miss. Returns `without_objective_s` for a job
// without objectives; this is also the upper bound of the result. `estimate_s`
// is the expected run time of a task, `wall_s` the current wall time.
double ComputeObjectiveSlack(const Job& job,
                             const std::vector<Objective>& objectives,
                             double estimate_s, double wall_s,
                             double without_objective_s);

}  // namespace sorrelwood
