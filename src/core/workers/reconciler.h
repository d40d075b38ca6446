// Reconciles the reports of a machine with the attempts that the leader tracks
// there.
#pragma once

#include <set>

#include "core/coordination/leader_election.h"
#include "core/engine/context.h"
#include "core/machines/machine_table.h"
#include "core/workers/attempt_tracker.h"
#include "core/workers/machine_recorder.h"
#include "core/workers/preemption_notices.h"
#include "core/workers/task_status_handler.h"
#include "core/workers/unreconciled_machines.h"

namespace sorrelwood {

// The channel through which a report arrived.
enum class HeartbeatChannel {
  kHeartbeat,     // sent by the worker; the response carries commands
  kPushResponse,  // the answer to commands pushed to the worker's address
};

class Reconciler {
 public:
  Reconciler(Context* context, LeaderElection* election,
             AttemptTracker* attempts, TaskStatusHandler* task_status,
             MachineRecorder* recorder, PreemptionNotices* preemption_notices,
             UnreconciledMachines* unreconciled)
      : context_(context),
        election_(election),
        attempts_(attempts),
        task_status_(task_status),
        recorder_(recorder),
        preemption_notices_(preemption_notices),
        unreconciled_(unreconciled) {}

  // Applies a report, which must be newer than any applied before. A token of a
  // later term ends this leader's term: all machines are then removed, and
  // `machine` is invalid on return.
  void Apply(Machine* machine, const Heartbeat& heartbeat,
             HeartbeatChannel channel);

 private:
  void RecordContact(Machine* machine, const Heartbeat& heartbeat,
                     HeartbeatChannel channel);
  // The worker has restarted, and has killed and forgotten all its tasks.
  void OnNewIncarnation(Machine* machine, uint64_t incarnation);
  // Applies only the completions of a report without this term's token.
  void ApplyCompletions(Machine* machine, const Heartbeat& heartbeat);
  // Treats the report as the complete state of the machine.
  void ApplyCompleteState(Machine* machine, const Heartbeat& heartbeat,
                          HeartbeatChannel channel);
  // Removes tracked attempts that the report proves to be absent.
  void RemoveAbsent(Machine* machine, const Heartbeat& heartbeat,
                    HeartbeatChannel channel, const std::set<TaskId>& reported);
  // Whether a report that does not contain the attempt proves that the start
  // command was lost or that the attempt has ended.
  bool ProvesAbsence(const TaskAttempt& attempt, const Heartbeat& heartbeat,
                     HeartbeatChannel channel) const;
  void AcknowledgeToken(Machine* machine);

  Context* context_;
  LeaderElection* election_;
  AttemptTracker* attempts_;
  TaskStatusHandler* task_status_;
  MachineRecorder* recorder_;
  PreemptionNotices* preemption_notices_;
  UnreconciledMachines* unreconciled_;
};

}  // namespace sorrelwood
