// Scale-out at low cost: machines for queued work that the expected capacity
// would not complete soon enough.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/autoscaling/demand_estimator.h"
#include "core/autoscaling/expected_capacity.h"
#include "core/autoscaling/offer_selector.h"
#include "core/autoscaling/scale_out_plan.h"
#include "core/jobs/job_table.h"
#include "core/model/settings.h"

namespace sorrelwood {

class LowCostScaleOut {
 public:
  // The pointers must outlive this object.
  LowCostScaleOut(JobTable* jobs, const OfferCatalog* catalog,
                  const DemandEstimator* demand,
                  const ExpectedCapacity* capacity,
                  const PolicySettings& policy)
      : jobs_(jobs),
        catalog_(catalog),
        demand_(demand),
        capacity_(capacity),
        selector_(catalog, demand, policy.backlog_limit_s),
        window_s_(policy.backlog_limit_s) {}

  // Adds machines for work that may start within its teams' limits and would
  // not be done within the operators' backlog limit.
  void Plan(ScaleOutPlan* plan);

 private:
  // The startable tasks of one job while they are assigned to machines.
  struct JobDemand {
    const Job& job;
    double unassigned_tasks = 0;
    std::map<std::string, double> assigned_tasks_in_zone;
  };

  void AssignToExpected(JobDemand* demand,
                        std::vector<ExpectedMachine>* machines) const;
  void AssignToNew(JobDemand* demand, std::vector<ExpectedMachine>* machines,
                   ScaleOutPlan* plan) const;
  // Assigns `tasks` tasks of `task_cpu_seconds` each to the machine.
  static void Assign(double tasks, double task_cpu_seconds, JobDemand* demand,
                     ExpectedMachine* machine);
  // Tasks that may still be assigned to the zone: a job that must be spread has
  // at most half of its tasks in one zone.
  static double CountTasksAllowedInZone(const JobDemand& demand,
                                        const std::string& zone);

  JobTable* jobs_;
  const OfferCatalog* catalog_;
  const DemandEstimator* demand_;
  const ExpectedCapacity* capacity_;
  const OfferSelector selector_;
  const double window_s_;  // time within which queued work must be done
};

}  // namespace sorrelwood
