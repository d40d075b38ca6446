// Watches which machines are in reach of the leader: shows its token to those
// that are silent, gives up those that are gone, and leaves the lead when most
// machines are out of reach.
#pragma once

#include <cstdint>
#include <functional>

#include "base/constants.h"
#include "core/autoscaling/autoscaler.h"
#include "core/coordination/leader_election.h"
#include "core/engine/context.h"
#include "core/machines/machine_table.h"

namespace sorrelwood {

class HealthMonitor {
 public:
  // What becomes of a machine, carried out by the owner.
  struct Handlers {
    // A report came in answer to a direct command.
    std::function<void(Machine*, const Heartbeat&)> on_heartbeat;
    // What was chosen for the machine and not sent goes elsewhere.
    std::function<void(Machine*)> remove_planned_attempts;
    // Nothing that was on the machine can be there any more.
    std::function<void(Machine*)> forget_machine_contents;
  };

  HealthMonitor(Context* context, MachineTable* machines,
                LeaderElection* election, Autoscaler* fleet,
                const ClusterSettings* settings, Handlers handlers)
      : context_(context),
        machines_(machines),
        election_(election),
        autoscaler_(fleet),
        settings_(settings),
        handlers_(std::move(handlers)) {}

  // A new term begins; results of the one before are ignored.
  void Begin();
  // Looks at all machines. On return this node may no longer lead.
  void Watch();
  // The process stood still for so long (s): what the machines said meanwhile
  // was not heard. Guards against taking the gap for their silence. Their
  // leases ran on, so when they were last answered stays.
  void OnProcessPause(double gap_s);
  // A machine quiet for so long has been shown the token directly, in vain (s).
  double UnreachableThreshold() const;

 private:
  struct Census {
    int expected = 0;  // machines that should report
    int silent = 0;    // of them, not heard for long
    int quiet = 0;     // of them, not heard for a while
    int holding = 0;   // hold up what was taken over
  };

  double Silence() const {
    return kSilentHeartbeats * settings_->heartbeat_interval_s;
  }
  double Lease() const {
    return settings_->worker_lease_s * (1 + kClockDrift) + 1;
  }
  // Until then an earlier leader's answers may have kept a machine's tasks.
  double EarlierTermTasksUntil() const;
  Census Count();
  void MarkUnreachable(Machine* machine) const;
  bool MostAreSilent(const Census& census) const;
  // It was taken over, neither reports nor answers, and all that was taken over
  // waits for it.
  bool BlocksRecovery(const Machine& machine) const;
  void Inspect(Machine* machine, bool few_silent, bool few_blocking);
  void GiveUp(Machine* machine, bool few_silent, bool unheard);
  // Shows a machine the token, whoever it reports to, and reads what it holds.
  void PushToken(Machine* machine);

  Context* context_;
  MachineTable* machines_;
  LeaderElection* election_;
  Autoscaler* autoscaler_;
  const ClusterSettings* settings_;
  Handlers handlers_;
  uint64_t generation_ = 0;
  double term_started_at_ = 0;
};

}  // namespace sorrelwood
