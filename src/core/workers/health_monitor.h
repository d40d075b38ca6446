// Monitors which machines the leader can reach: pushes its fencing token to
// silent machines, releases lost ones, and resigns when most machines are
// unreachable.
#pragma once

#include <cstdint>

#include "base/constants/clocks.h"
#include "base/constants/workers.h"
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

  // Starts a new term. Answers to pushes of the previous term are ignored.
  void OnTermStarted();
  // Checks all machines. This node may have resigned on return.
  void CheckMachines();
  // This process handled no input for `gap_s` seconds. Moves the contact times
  // forward so that the pause does not count as silence of the machines. The
  // time of the latest response is not moved, because the worker leases that it
  // renewed were not extended by the pause.
  void OnProcessPause(double gap_s);
  // The silence (s) after which the token has been pushed to a machine and that
  // push has timed out.
  double UnreachableThresholdS() const;
  // Whether a heartbeat of the machine that does not show this term's token may
  // be answered. Each answer may renew the lease of tasks of an earlier term,
  // so the answers to such heartbeats end: otherwise a worker that receives
  // none of them would block the jobs of earlier terms indefinitely.
  bool MayAnswerWithoutToken(const Machine& machine) const;

 private:
  // Numbers of machines by their contact with this leader.
  struct ContactCounts {
    int expected = 0;  // machines that should send heartbeats
    // Of the expected ones: unreachable, or no contact for SilenceThresholdS().
    int silent = 0;
    // Of the expected ones: no contact for kFastResignHeartbeatIntervals
    // intervals.
    int without_recent_contact = 0;
    int blocking_recovery = 0;  // see BlocksRecovery
  };
  // Which machines may be released before their worker lease has expired.
  // Releasing a machine proves that its tasks have ended, but loses their work
  // if the machine was only cut off. The limits prevent this node from
  // releasing many machines because of a fault in its own network.
  struct EarlyReleases {
    bool silent = false;
    bool blocking_recovery = false;
  };

  // A machine without contact for longer than this (s) is silent.
  double SilenceThresholdS() const {
    return kSilentHeartbeatIntervals * settings_->heartbeat_interval_s;
  }
  // The longest time (s) that a worker runs its tasks after the latest
  // response: its lease with clock drift, plus the time to stop the tasks.
  double MaxTaskSurvivalS() const {
    return settings_->worker_lease_s * (1 + kMaxClockDriftRatio) +
           kMaxWorkerStopS;
  }
  // The time (steady clock, s) at which the last earlier leader stops renewing
  // worker leases.
  double EarlierTermRenewalsEndAt() const;
  // The time (steady clock, s) of the latest answer that may have renewed the
  // machine's worker lease, whether this leader or an earlier one sent it.
  double LeaseRenewedAt(const Machine& machine) const;
  // The time (steady clock, s) by which the machine's tasks have ended.
  double TasksEndedBy(const Machine& machine) const;

  // Also marks machines that have become unreachable.
  ContactCounts UpdateContactCounts();
  void DetectUnreachable(Machine* machine) const;
  // Whether the machine is known only from a record of an earlier term and the
  // cloud's inventory does not list it. If these records counted as silent
  // machines, each new leader would resign because of them.
  bool IsRecordWithoutMachine(const Machine& machine) const;
  bool MostMachinesSilent(const ContactCounts& counts) const;
  static EarlyReleases AllowedEarlyReleases(const ContactCounts& counts);

  void CheckMachine(Machine* machine, const EarlyReleases& early_releases);
  bool IsSilent(const Machine& machine) const;
  bool NeedsTokenPush(const Machine& machine) const;
  bool EarlierTermTasksHaveEnded(const Machine& machine) const;
  // Whether the machine may hold tasks of an earlier term but neither sends
  // heartbeats nor answers pushes. The tasks that may run there cannot be
  // started elsewhere until this is settled.
  bool BlocksRecovery(const Machine& machine) const;
  // Whether the machine has reported and was answered, but has not acknowledged
  // the token within UnreachableThresholdS(): either no message reaches it, or
  // its report was a delayed duplicate.
  bool IsTokenUndelivered(const Machine& machine) const;
  // Withdraws planned attempts, reschedules the tasks once they have ended, and
  // releases the machine as soon as that is allowed.
  void HandleLostContact(Machine* machine, bool may_release_early);
  void PushToken(Machine* machine);
  void OnPushResult(const std::string& name, const PushResult& result);

  Context* context_;
  MachineTable* machines_;
  LeaderElection* election_;
  Autoscaler* autoscaler_;
  const ClusterSettings* settings_;
  Reconciler* reconciler_;
  AttemptTracker* attempts_;
  uint64_t term_generation_ = 0;  // incremented with each term
  double term_started_at_ = 0;    // steady clock, s
};

}  // namespace sorrelwood
