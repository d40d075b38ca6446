// Adds and removes the task attempts of machines, and updates the job table,
// the teams' usage and the rebalancer accordingly.
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

  // Handles a reported attempt that is not tracked. Tracks it if it may have
  // been started by an earlier leader and its task is not placed elsewhere;
  // otherwise CommandSelector stops it.
  void Adopt(Machine* machine, const TaskStatus& task);

  // Removes an attempt that is proved to be absent from the machine. Its task
  // becomes pending again unless it is done.
  void Remove(Machine* machine,
              std::map<TaskId, TaskAttempt>::iterator attempt_entry);
  // Removes the attempts whose start command was not sent; their tasks can be
  // placed elsewhere at once.
  void RemovePlanned(Machine* machine);
  // Removes all attempts, e.g. because the worker has restarted without them.
  void RemoveAll(Machine* machine);
  // Treats the machine as empty, because it is gone or every worker lease that
  // any leader granted it has expired. Unlike RemoveAll, this also clears the
  // tasks of earlier terms: a worker restart alone does not prove their
  // absence, since an earlier leader may have placed tasks after it.
  void ForgetMachineContents(Machine* machine);

 private:
  // Withdraws the task's planned attempt on another machine, if there is one.
  // False if the task may already have been started on another machine.
  bool EnsureNotStartedElsewhere(const Job& job, const TaskId& id);
  TaskAttempt MakeAdoptedAttempt(const Job& job, const Machine& machine,
                                 const TaskStatus& task) const;

  Context* context_;
  const LeaderElection* election_;
  JobTable* jobs_;
  MachineTable* machines_;
  Rebalancer* rebalancer_;
  UnreconciledMachines* unreconciled_;
};

}  // namespace sorrelwood
