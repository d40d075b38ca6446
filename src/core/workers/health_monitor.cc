#include "core/workers/health_monitor.h"

#include <algorithm>
#include <string>
#include <utility>

#include "base/constants.h"

namespace sorrelwood {

void HealthMonitor::Begin() {
  ++generation_;
  term_started_at_ = context_->now;
}

double HealthMonitor::UnreachableThreshold() const {
  return Silence() + kPushTimeoutS + kPushIntervalS;
}

double HealthMonitor::EarlierTermTasksUntil() const {
  return term_started_at_ + election_->worker_lease_renewal_window_s() +
         Lease();
}

void HealthMonitor::OnProcessPause(double gap_s) {
  for (auto& [name, machine] : machines_->all()) {
    machine->contact.last_contact_at += gap_s;
    machine->contact.last_heartbeat_at += gap_s;
    machine->contact.last_delivery_proof_at += gap_s;
    machine->contact.delivery_unproven_since += gap_s;
  }
}

// Its reports come and are answered, but for longer than its lease no answer is
// proved to have arrived; a slow one is far from that. It is not answered any
// more. Guards against a machine that swallows tasks which never start.
void HealthMonitor::MarkUnreachable(Machine* machine) const {
  const double unproved = machine->contact.last_answered_at -
                          machine->contact.delivery_unproven_since;
  if (machine->contact.unreachable || !machine->lifecycle.token_acknowledged ||
      unproved <= Lease() + Silence())
    return;
  machine->contact.unreachable = true;
  context_->Info("machine unreachable: heartbeats arrive, responses do not",
                 {{"machine", machine->name}});
}

HealthMonitor::Census HealthMonitor::Count() {
  const double soon = kFastResignHeartbeats * settings_->heartbeat_interval_s;
  Census census;
  for (const auto& [name, machine] : machines_->all()) {
    if (BlocksRecovery(*machine)) ++census.holding;
    if (!machine->lifecycle.ever_reported ||
        !machine->lifecycle.identity_confirmed)
      continue;
    MarkUnreachable(machine.get());
    // One that is neither heard nor listed is a record without a machine.
    // Guards against the lead going round because of such.
    if (!machine->lifecycle.token_acknowledged && !machine->lifecycle.listed &&
        autoscaler_->inventory_known())
      continue;
    ++census.expected;
    const double quiet_s = context_->now - machine->contact.last_contact_at;
    if (machine->contact.unreachable || quiet_s > Silence()) ++census.silent;
    if (quiet_s > soon) ++census.quiet;
  }
  return census;
}

// Guards against a leader that is cut off from the workers alone: their leases
// would run out while another controller could answer them. Many that fall
// silent together tell it sooner.
bool HealthMonitor::MostAreSilent(const Census& census) const {
  if (context_->now - term_started_at_ <= Silence()) return false;
  const int heard = census.expected - census.silent;
  const int heard_lately = census.expected - census.quiet;
  return (census.expected >= kResignMinMachines &&
          heard < census.expected * kResignReachableShare) ||
         (census.expected >= kFastResignMinMachines &&
          heard_lately < census.expected * kFastResignReachableShare);
}

bool HealthMonitor::BlocksRecovery(const Machine& machine) const {
  const double unshown = kFailoverHeartbeats * settings_->heartbeat_interval_s +
                         kPushTimeoutS + kPushIntervalS / 2;
  return machine.lifecycle.from_earlier_term &&
         machine.lifecycle.ever_reported && !machine.lifecycle.terminating &&
         machine.contact.unanswered_pushes > 0 &&
         machine.contact.sequence == 0 &&
         context_->now - term_started_at_ > unshown;
}

void HealthMonitor::Watch() {
  const Census census = Count();
  // While the state service is out nobody else could lead.
  if (election_->MayDispatch() && MostAreSilent(census)) {
    election_->Resign("most machines are silent");
    if (!election_->leading()) return;
  }
  // After a takeover every inherited job waits for the last machine. A
  // few that neither report nor answer are most likely gone: returned at once,
  // as the proof, they cost the work on them if they are not.
  const bool few_blocking =
      census.holding <= std::max(1.0, census.expected * kBlockingMachineShare);
  const bool few_silent =
      census.silent <= std::max(1.0, census.expected * kEarlyReleaseMaxShare);
  for (auto& [name, machine] : machines_->all())
    if (machine->lifecycle.ever_reported)
      Inspect(machine.get(), few_silent, few_blocking);
}

void HealthMonitor::Inspect(Machine* machine, bool few_silent,
                            bool few_blocking) {
  // Guards against a machine that answers direct commands but reaches no
  // controller: work chosen for it would wait there for a report.
  const double quiet_s = context_->now - machine->contact.last_heartbeat_at;
  // Most show our token in their first two reports after a takeover.
  const bool stuck = machine->lifecycle.from_earlier_term &&
                     context_->now - term_started_at_ >
                         kFailoverHeartbeats * settings_->heartbeat_interval_s;
  if ((stuck || quiet_s > Silence()) && !machine->address.empty() &&
      !machine->contact.push_in_flight && !machine->lifecycle.terminating &&
      context_->now >= machine->contact.next_push)
    PushToken(machine);
  // Whether or not it reports or is being returned: no earlier leader can have
  // kept its tasks for so long. Guards against one that never shows our token
  // and would hold up every inherited job and count against every limit
  // for ever.
  if (machine->lifecycle.from_earlier_term &&
      context_->now > EarlierTermTasksUntil()) {
    context_->Info(
        "fencing token not acknowledged in time: tasks presumed gone",
        {{"machine", machine->name}});
    handlers_.forget_machine_contents(machine);
  }
  if (few_blocking && BlocksRecovery(*machine)) {
    autoscaler_->Release(machine, ReleaseReason::kBlocksRecovery);
    return;
  }
  // It has spoken, has been answered, and still has not shown our token:
  // nothing reaches it, or its report was a late copy.
  const bool unheard = !machine->lifecycle.token_acknowledged &&
                       context_->now - machine->contact.last_delivery_proof_at >
                           UnreachableThreshold();
  if (quiet_s > Silence() || machine->contact.unreachable || unheard)
    GiveUp(machine, few_silent, unheard);
}

void HealthMonitor::GiveUp(Machine* machine, bool few_silent, bool unheard) {
  handlers_.remove_planned_attempts(machine);
  const double lost_at = machine->lifecycle.from_earlier_term
                             ? EarlierTermTasksUntil()
                             : machine->contact.last_answered_at + Lease();
  if (context_->now > lost_at && !machine->attempts.empty()) {
    context_->Info("worker lease expired: tasks presumed gone",
                   {{"machine", machine->name}});
    handlers_.forget_machine_contents(machine);
  }
  const double long_lost_at = std::min(machine->contact.last_delivery_proof_at,
                                       machine->contact.last_heartbeat_at) +
                              Lease() + kUnreachableReleaseDelayS +
                              2 * settings_->worker_lease_s;
  if ((few_silent || !machine->lifecycle.identity_confirmed) &&
      (machine->contact.unreachable || unheard))
    autoscaler_->Release(machine, ReleaseReason::kUnreachable);
  else if (few_silent && context_->now - machine->contact.last_heartbeat_at >
                             UnreachableThreshold())
    autoscaler_->Release(machine, ReleaseReason::kSilent);
  else if (context_->now > lost_at && context_->now > long_lost_at)
    autoscaler_->Release(machine, ReleaseReason::kLongUnreachable);
}

void HealthMonitor::PushToken(Machine* machine) {
  machine->contact.push_in_flight = true;
  machine->contact.next_push = context_->now + kPushIntervalS;
  PushedCommands command;
  command.machine = machine->name;
  command.address = machine->address;
  command.fencing_token = election_->term();
  command.incarnation = machine->contact.incarnation;
  context_->PushCommands(
      std::move(command), [this, name = machine->name,
                           generation = generation_](const PushResult& result) {
        if (generation != generation_) return;
        Machine* shown = machines_->Find(name);
        if (!shown) return;
        shown->contact.push_in_flight = false;
        if (!result.answered || result.heartbeat.machine != name) {
          ++shown->contact.unanswered_pushes;
          return;
        }
        shown->contact.unanswered_pushes = 0;
        shown->contact.last_delivery_proof_at = context_->now;
        if (std::make_pair(result.heartbeat.incarnation,
                           result.heartbeat.sequence) >
            std::make_pair(shown->contact.incarnation, shown->contact.sequence))
          handlers_.on_heartbeat(shown, result.heartbeat);
      });
}

}  // namespace sorrelwood
