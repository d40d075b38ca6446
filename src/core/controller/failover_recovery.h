// Loads the records that earlier leaders stored, after this node has become the
// leader.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "core/autoscaling/autoscaler.h"
#include "core/controller/job_lifecycle.h"
#include "core/coordination/completion_store.h"
#include "core/coordination/job_cache.h"
#include "core/coordination/leader_election.h"
#include "core/coordination/state_writer.h"
#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/workers/unreconciled_machines.h"

namespace sorrelwood {

// The records are read one kind after the other: machines, completions, live
// jobs, provisioning requests. All reads happen after the new term has been
// committed, when no earlier leader can write any more.
class FailoverRecovery {
 public:
  FailoverRecovery(Context* context, JobCache* job_cache,
                   LeaderElection* election, JobTable* jobs,
                   MachineTable* machines, StateWriter* writer,
                   CompletionStore* completions, Autoscaler* autoscaler,
                   UnreconciledMachines* unreconciled, JobLifecycle* lifecycle)
      : context_(context),
        job_cache_(job_cache),
        election_(election),
        jobs_(jobs),
        machines_(machines),
        writer_(writer),
        completions_(completions),
        autoscaler_(autoscaler),
        unreconciled_(unreconciled),
        lifecycle_(lifecycle) {}

  // Starts reading. The caller must have cleared all records of an earlier
  // term.
  void Start();
  // Called when the term has ended. Results that are still pending are ignored.
  void Reset();
  // Restarts the recovery kRecoveryRetryS after a read has failed.
  void RetryIfDue();
  // Whether all records have been read in this term. Until then the leader
  // starts no tasks and rents no machines.
  bool complete() const { return complete_; }

 private:
  using Step = std::function<void(const StateResult&)>;
  // Lists the records under `prefix` and passes them to `next_step`, unless the
  // listing fails or the term has ended.
  void ReadRecords(const std::string& prefix, Step next_step);
  void LoadMachines(const StateResult& machines);
  void LoadCompletions(const StateResult& completions);
  void LoadJobs(const StateResult& jobs);
  void LoadProvisioning(const StateResult& requests);
  void FinishRecovery();
  void OnReadFailed();

  Context* context_;
  JobCache* job_cache_;
  LeaderElection* election_;
  JobTable* jobs_;
  MachineTable* machines_;
  StateWriter* writer_;
  CompletionStore* completions_;
  Autoscaler* autoscaler_;
  UnreconciledMachines* unreconciled_;
  JobLifecycle* lifecycle_;
  bool complete_ = false;
  uint64_t generation_ = 0;  // raised when pending reads become obsolete
  // When to restart after a failed read (steady clock, s).
  std::optional<double> retry_at_;
};

}  // namespace sorrelwood
