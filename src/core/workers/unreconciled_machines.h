// Machines that may run tasks which are unknown to this leader: machines of an
// earlier term that have not acknowledged its fencing token yet, and machines
// that report tasks of no known job. What they may run counts against every
// team's limit. Guards against a new leader that takes teams over their limits
// by starting tasks beside those that an earlier leader started.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/machines/machine_table.h"
#include "core/scheduling/placement.h"

namespace sorrelwood {

// Updates the totals as machines change. After a failover thousands of machines
// report for the first time: summing over all machines for each report would
// cost the square of the fleet size.
class UnreconciledMachines {
 public:
  // Counts the machine by its present state, or no longer.
  void Update(const Machine& machine);
  // Counts all machines anew, as when their types have become known.
  void Recount(const std::map<std::string, std::unique_ptr<Machine>>& machines);
  void Clear();

  // The machine reports a task of no known job.
  void AddUnknownTask(const Machine& machine);
  // The machine holds no such task any more.
  void ForgetUnknownTasks(const Machine& machine);

  // Has the placement hold the capacity that these machines may use.
  void ReserveIn(Placement* placement) const;

 private:
  // What one machine adds to the totals.
  struct Share {
    bool from_earlier_term = false;
    double cpus = 0, gpus = 0;
  };
  void Remove(const std::string& name);

  std::map<std::string, Share> shares_;
  std::set<std::string> with_unknown_tasks_;
  int from_earlier_term_ = 0;  // machines
  double cpus_ = 0, gpus_ = 0;
};

}  // namespace sorrelwood
