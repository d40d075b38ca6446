// Tracks machines that may run tasks unknown to this leader: machines of an
// earlier term that have not acknowledged its fencing token yet, and machines
// that report tasks of unknown jobs. The whole capacity of these machines
// counts against every team's limit. Otherwise a new leader could exceed the
// limits by starting tasks in addition to those that an earlier leader started.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/machines/machine_table.h"
#include "core/scheduling/placement.h"

namespace sorrelwood {

// The totals are updated incrementally. After a failover thousands of machines
// report for the first time, and summing over all machines for each report
// would be quadratic in the fleet size.
class UnreconciledMachines {
 public:
  // Adds, updates or removes the machine's contribution according to its
  // current state.
  void Update(const Machine& machine);
  // Recomputes the totals, e.g. when the machine types have become known.
  void Recount(const std::map<std::string, std::unique_ptr<Machine>>& machines);
  void Clear();

  // Records that the machine reports a task of an unknown job.
  void AddUnknownTask(const Machine& machine);
  // Records that the machine no longer holds tasks of unknown jobs.
  void ForgetUnknownTasks(const Machine& machine);

  // Passes the capacity that these machines may use to the placement, which
  // counts it against the limits.
  void ReserveCapacityIn(Placement* placement) const;

 private:
  // The contribution of one machine to the totals.
  struct Contribution {
    bool from_earlier_term = false;
    double cpus = 0, gpus = 0;
  };
  void RemoveContribution(const std::string& name);

  std::map<std::string, Contribution> contributions_;  // by machine name
  std::set<std::string> with_unknown_tasks_;
  int machines_from_earlier_term_ = 0;
  double cpus_ = 0, gpus_ = 0;
};

}  // namespace sorrelwood
