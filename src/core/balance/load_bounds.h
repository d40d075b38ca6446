// The load bounds of machines. A machine is crowded when its load exceeds a
// bound: its even share of the demand plus some headroom. This is consistent
// hashing with bounded loads, with a best fit instead of the ring
// (docs/load-spread.md).
#pragma once

#include <map>
#include <string>

#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/model/spread_settings.h"

namespace sorrelwood {

class LoadBounds {
 public:
  LoadBounds(JobTable* jobs, MachineTable* machines,
             const ClusterSettings* settings, const SpreadSettings& spread)
      : jobs_(jobs),
        machines_(machines),
        settings_(settings),
        spread_(spread) {}

  // Recomputes demand and capacity. Iterates over all jobs and machines.
  void Update(double now);

  // The number of cores that may be in use on a machine, by all tasks and by
  // the tasks of one team. kNoLimit if the cluster has no capacity. 0 for a
  // team that is not in the settings and has no job.
  double TotalBound(const Machine& machine) const;
  double TeamBound(const std::string& team, const Machine& machine) const;

  // Whether the machine stays within its bounds with one more task of the job.
  // However large, a team's first task on the machine may exceed the team's
  // bound, and the first task on an empty machine both bounds.
  bool AllowsTask(const Job& job, const Machine& machine) const;

  // Whether the machine takes part in load spread: it is in service and is not
  // being drained.
  static bool IsIncluded(const Machine& machine) {
    return machine.InService() && !machine.role.excess;
  }
  double capacity_cpus() const { return capacity_cpus_; }

 private:
  // Returns the machine's even share of `demand_cpus`, plus headroom.
  double BoundFor(double demand_cpus, const Machine& machine) const;
  // Returns the cores of the job's pending tasks that could start now within
  // the rest of the team's quota, and subtracts them from it.
  static double TakeStartableCpus(const Job& job, double now,
                                  double* quota_left_cpus);

  JobTable* jobs_;
  MachineTable* machines_;
  const ClusterSettings* settings_;
  SpreadSettings spread_;
  double capacity_cpus_ = 0;
  double demand_cpus_ = 0;
  std::map<std::string, double> team_demand_cpus_;
};

}  // namespace sorrelwood
