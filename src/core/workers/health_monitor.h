// Watches which machines the leader can reach: pushes its fencing token to
// silent ones, returns those that are gone, and resigns when most machines are
// out of reach.
#pragma once

#include <cstdint>

#include "base/constants.h"
#include "core/autoscaling/autoscaler.h"
#include "core/coordination/leader_election.h"
#include "core/engine/context.h"
#include "core/machines/machine_table.h"
#include "core/workers/attempt_tracker.h"
#include "core/workers/reconciler.h"

namespace sorrelwood {

class HealthMonitor {
 public:
  HealthMonitor(Context* context, MachineTable* machines,
                LeaderElection* election, Autoscaler* autoscaler,
                const ClusterSettings* settings, Reconciler* reconciler,
                AttemptTracker* attempts)
      : context_(context),
        machines_(machines),
        election_(election),
        autoscaler_(autoscaler),
        settings_(settings),
        reconciler_(reconciler),
        attempts_(attempts) {}

  // A new term begins; the answers to pushes of the last one are ignored.
  void OnTermStarted();
  // Checks all machines. This node may have resigned on return.
  void CheckMachines();
  // No input was handled for `gap_s` seconds. Guards against taking a pause of
  // this process for the machines' silence. Their leases expire all the same,
  // so the time of the latest response stays as it is.
  void OnProcessPause(double gap_s);
  // A machine that has been silent for so long (s) was pushed the token, and
  // did not respond.
  double UnreachableThresholdS() const;

 private:
  // Machines by how well they are in contact.
  struct Census {
    int expected = 0;           // should send heartbeats
    int silent = 0;             // of them: no contact for SilenceThresholdS
    int recently_quiet = 0;     // of them: none for kFastResignHeartbeatIntervals
    int blocking_recovery = 0;  // see BlocksRecovery
  };
  // Which machines may be returned before their worker lease has expired.
  // Returning a machine proves that its tasks have ended, and costs their work
  // if it was only cut off. Guards against returning many machines for a fault
  // of this node's own network.
  struct EarlyReturns {
    bool silent = false;
    bool blocking_recovery = false;
  };

  // Without contact for longer (s) a machine is silent.
  double SilenceThresholdS() const {
    return kSilentHeartbeatIntervals * settings_->heartbeat_interval_s;
  }
  // After the latest response a worker keeps its tasks no longer than this (s).
  double WorkerLeaseS() const {
    return settings_->worker_lease_s * (1 + kMaxClockDriftRatio) + kMaxWorkerStopS;
  }
  // Until then (steady clock, s) responses of an earlier leader may have kept a
  // worker's tasks alive.
  double EarlierTermTasksUntil() const;
  // From then on (steady clock, s) the machine's tasks have ended.
  double TasksGoneAt(const Machine& machine) const;

  Census TakeCensus();
  void DetectUnreachable(Machine* machine) const;
  // No inventory entry confirms a record from an earlier term. Guards against
  // resigning over and over because of records without a machine.
  bool IsRecordWithoutMachine(const Machine& machine) const;
  bool MostMachinesSilent(const Census& census) const;
  static EarlyReturns AllowedEarlyReturns(const Census& census);

  void Check(Machine* machine, const EarlyReturns& early_returns);
  bool IsSilent(const Machine& machine) const;
  bool NeedsTokenPush(const Machine& machine) const;
  bool OutlivedEarlierTerm(const Machine& machine) const;
  // It may hold tasks of an earlier term, neither reports nor answers pushes,
  // and so blocks the start of tasks that may run there.
  bool BlocksRecovery(const Machine& machine) const;
  // It has reported and was answered, but for long has not acknowledged the
  // token: nothing reaches it, or its report was a delayed duplicate.
  bool TokenUndelivered(const Machine& machine) const;
  void HandleLostContact(Machine* machine, bool may_return_early);
  void PushToken(Machine* machine);
  void OnPushResult(const std::string& name, const PushResult& result);

  Context* context_;
  MachineTable* machines_;
  LeaderElection* election_;
  Autoscaler* autoscaler_;
  const ClusterSettings* settings_;
  Reconciler* reconciler_;
  AttemptTracker* attempts_;
  uint64_t generation_ = 0;  // raised with each term
  double term_started_at_ = 0;
};

}  // namespace sorrelwood
