// How much time a job has left to meet its deadline and the service-level
// objectives of its class.
#pragma once

#include <vector>

#include "core/jobs/job.h"
#include "core/model/settings.h"

namespace sorrelwood {

// The time (s) that the job's last task may still wait before the next
// objective that can be met is missed. Negative when every objective is missed:
// then how long ago the latest of them was. `without_objective_s` where the job
// has none, and the most that is returned. `estimate_s` is the expected run
// time of a task, `wall` the wall time.
double ObjectiveSlack(const Job& job, const std::vector<Objective>& objectives,
                      double estimate_s, double wall,
                      double without_objective_s);

}  // namespace sorrelwood
