// Reads what earlier leaders have stored, once this node has become the leader.
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
// jobs, provisioning requests. All are read after the new term was committed,
// when no earlier leader can write any more.
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

  // Begins to read. What was read of another term must be cleared before.
  void Start();
  // The term has ended: nothing is recovered, and results still to come are
  // ignored.
  void Reset();
  // Starts again some time (kRecoveryRetryS) after a read has failed.
  void RetryIfDue();
  // Whether all records of this term are read. The leader starts nothing
  // before.
  bool complete() const { return complete_; }

 private:
  using Step = std::function<void(const StateResult&)>;
  // Lists the records under a prefix, and calls `next` unless that fails or the
  // term has ended meanwhile.
  void Read(const std::string& prefix, Step next);
  void LoadMachines(const StateResult& machines);
  void LoadCompletions(const StateResult& completions);
  void LoadJobs(const StateResult& jobs);
  void LoadProvisioning(const StateResult& requests);
  void Finish();
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
  uint64_t generation_ = 0;         // raised when pending reads become obsolete
  std::optional<double> retry_at_;  // once a read has failed (steady clock, s)
};

}  // namespace sorrelwood
