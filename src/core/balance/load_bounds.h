// How much load each machine may carry before it counts as crowded: its even
// part of the demand, and some headroom. This is consistent hashing with
// bounded loads, with a best fit in place of the ring (docs/load-spread.md).
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

  // Takes the demand and the capacity as they are now. Costs a look at all jobs
  // and machines.
  void Update(double now);

  // The cores that a machine may have in use, in all and by one team. Without
  // any capacity there is no bound.
  double OfAll(const Machine& machine) const;
  double OfTeam(const std::string& team, const Machine& machine) const;

  // One more task of the job keeps the machine within its bounds. A machine
  // always may have one task of a team, however large.
  bool Allow(const Job& job, const Machine& machine) const;

  // The machine's load is spread: it serves, and is not being emptied.
  static bool Counts(const Machine& machine) {
    return machine.InService() && !machine.role.excess;
  }
  double capacity_cpus() const { return capacity_cpus_; }

 private:
  // The machine's part of `demand_cpus`, with headroom.
  double Part(double demand_cpus, const Machine& machine) const;
  // Pending cores of the job that could start now within `left_cpus`, which
  // is lowered by them.
  static double PendingCpus(const Job& job, double now, double* left_cpus);

  JobTable* jobs_;
  MachineTable* machines_;
  const ClusterSettings* settings_;
  SpreadSettings spread_;
  double capacity_cpus_ = 0;
  double demand_cpus_ = 0;
  std::map<std::string, double> team_demand_cpus_;
};

}  // namespace sorrelwood
