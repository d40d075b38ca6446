// Scale-out at low cost: machines for queued work that the expected capacity
// does not work off soon enough.
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

  // Adds machines for the work that may start within its teams' limits and
  // would wait longer than the operators' drain time.
  void Plan(ScaleOutPlan* plan);

 private:
  // The tasks of one job while they are assigned to machines.
  struct JobDemand {
    const Job& job;
    double tasks = 0;                             // still to be assigned
    std::map<std::string, double> tasks_in_zone;  // assigned so far
  };

  void AssignToExpected(JobDemand* demand,
                        std::vector<ExpectedMachine>* machines) const;
  void AssignToNew(JobDemand* demand, std::vector<ExpectedMachine>* machines,
                   ScaleOutPlan* plan) const;
  // Assigns `tasks` tasks, of `task_cpu_seconds` each.
  static void Assign(double tasks, double task_cpu_seconds, JobDemand* demand,
                     ExpectedMachine* machine);
  // Tasks that may still go to the zone: a job that is to be spread has no more
  // than half of its tasks in one.
  static double TasksAllowedInZone(const JobDemand& demand,
                                   const std::string& zone);

  JobTable* jobs_;
  const OfferCatalog* catalog_;
  const DemandEstimator* demand_;
  const ExpectedCapacity* capacity_;
  const OfferSelector selector_;
  const double window_s_;
};

}  // namespace sorrelwood
