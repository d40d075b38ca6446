// Adds and removes the task attempts of machines, and keeps the job table, the
// teams' usage and the rebalancer in step with them.
#pragma once

#include <map>

#include "core/balance/rebalancer.h"
#include "core/coordination/leader_election.h"
#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/workers/unreconciled_machines.h"

namespace sorrelwood {

class AttemptTracker {
 public:
  AttemptTracker(Context* context, const LeaderElection* election,
                 JobTable* jobs, MachineTable* machines, Rebalancer* rebalancer,
                 UnreconciledMachines* unreconciled)
      : context_(context),
        election_(election),
        jobs_(jobs),
        machines_(machines),
        rebalancer_(rebalancer),
        unreconciled_(unreconciled) {}

  // The machine reports an attempt that is not tracked: one that an earlier
  // leader started, which is taken in, or one that should not be there, which
  // CommandSelector stops.
  void Adopt(Machine* machine, const TaskStatus& task);

  // The attempt is proved to be absent: its task is pending again, unless it is
  // done.
  void Remove(Machine* machine, std::map<TaskId, TaskAttempt>::iterator it);
  // Withdraws the attempts whose start command was not sent; their tasks can
  // be placed elsewhere at once.
  void RemovePlanned(Machine* machine);
  // The worker has started anew and holds no attempts any more.
  void RemoveAll(Machine* machine);
  // The machine is gone, or no leader can have kept its tasks alive for so
  // long. It does not hold tasks of an earlier term either, which a restart of
  // the worker alone does not prove: an earlier leader may have placed tasks
  // since.
  void ForgetMachineContents(Machine* machine);

 private:
  // Whether the task may be taken as running on the reporting machine: it is
  // tracked nowhere else, or only planned there and now withdrawn.
  bool WithdrawPlannedElsewhere(const Job& job, const TaskId& id);
  TaskAttempt MakeAdopted(const Job& job, const Machine& machine,
                          const TaskStatus& task) const;

  Context* context_;
  const LeaderElection* election_;
  JobTable* jobs_;
  MachineTable* machines_;
  Rebalancer* rebalancer_;
  UnreconciledMachines* unreconciled_;
};

}  // namespace sorrelwood
