// Machines on which tasks may run that this leader does not know of:
// inherited machines that have not shown its token yet, and machines
// that report tasks of no known job. What they may hold counts against every
// team's limit.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/machines/machine_table.h"

namespace sorrelwood {

// Keeps the totals as machines change, since a takeover of thousands of
// machines hears each of them for the first time: a look at all machines for
// each such report would cost the square of the fleet.
class UnreconciledMachines {
 public:
  // Takes the machine in or out, as it is now.
  void Update(const Machine& machine);
  // The same for all machines, for instance once their types are known.
  void Recount(const std::map<std::string, std::unique_ptr<Machine>>& machines);
  void Clear();

  // The machine reports a task that this leader can't tell the job of.
  void AddUnknownTask(const Machine& machine);
  // It no longer holds any such task.
  void ForgetUnknownTasks(const Machine& machine);

  // Machines whose tasks an earlier leader may have placed.
  int from_earlier_term() const { return inherited_; }
  // What all unreconciled machines could hold together.
  double cpus() const { return cpus_; }
  double gpus() const { return gpus_; }

 private:
  // What one machine adds to the totals.
  struct Share {
    bool from_earlier_term = false;
    double cpus = 0, gpus = 0;
  };
  void Remove(const std::string& name);

  std::map<std::string, Share> shares_;
  std::set<std::string> with_unknown_tasks_;
  int inherited_ = 0;
  double cpus_ = 0, gpus_ = 0;
};

}  // namespace sorrelwood
