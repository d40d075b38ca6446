#include "core/workers/health_monitor.h"

#include <algorithm>
#include <string>
#include <utility>

#include "base/constants.h"

namespace sorrelwood {

void HealthMonitor::OnTermStarted() {
  ++generation_;
  term_started_at_ = context_->now;
}

void HealthMonitor::OnProcessPause(double gap_s) {
  for (auto& [name, machine] : machines_->all()) {
    machine->contact.last_contact_at += gap_s;
    machine->contact.last_heartbeat_at += gap_s;
    machine->contact.last_delivery_proof_at += gap_s;
    machine->contact.delivery_unproven_since += gap_s;
  }
}

double HealthMonitor::UnreachableThresholdS() const {
  return SilenceThresholdS() + kPushTimeoutS + kPushIntervalS;
}

double HealthMonitor::EarlierTermTasksUntil() const {
  return term_started_at_ + election_->worker_lease_renewal_window_s() +
         WorkerLeaseS();
}

double HealthMonitor::TasksGoneAt(const Machine& machine) const {
  return machine.lifecycle.from_earlier_term
             ? EarlierTermTasksUntil()
             : machine.contact.last_answered_at + WorkerLeaseS();
}

void HealthMonitor::CheckMachines() {
  const Census census = TakeCensus();
  // During an outage of the state service nobody else could lead.
  if (election_->MayDispatch() && MostMachinesSilent(census)) {
    election_->Resign("most machines are silent");
    if (!election_->leading()) return;
  }
  const EarlyReturns early_returns = AllowedEarlyReturns(census);
  for (auto& [name, machine] : machines_->all())
    if (machine->lifecycle.ever_reported) Check(machine.get(), early_returns);
}

HealthMonitor::Census HealthMonitor::TakeCensus() {
  const double recently_s =
      kFastResignHeartbeatIntervals * settings_->heartbeat_interval_s;
  Census census;
  for (const auto& [name, machine] : machines_->all()) {
    if (BlocksRecovery(*machine)) ++census.blocking_recovery;
    if (!machine->lifecycle.ever_reported ||
        !machine->lifecycle.identity_confirmed)
      continue;
    DetectUnreachable(machine.get());
    if (IsRecordWithoutMachine(*machine)) continue;
    ++census.expected;
    const double quiet_s = context_->now - machine->contact.last_contact_at;
    if (machine->contact.unreachable || quiet_s > SilenceThresholdS())
      ++census.silent;
    if (quiet_s > recently_s) ++census.recently_quiet;
  }
  return census;
}

// Its heartbeats come and are answered, but for longer than the worker's lease
// no response is proved to have arrived; a slow network is far from that. It is
// not answered any more. Guards against a machine to which tasks are sent that
// never start.
void HealthMonitor::DetectUnreachable(Machine* machine) const {
  const double unproven_s = machine->contact.last_answered_at -
                            machine->contact.delivery_unproven_since;
  if (machine->contact.unreachable || !machine->lifecycle.token_acknowledged ||
      unproven_s <= WorkerLeaseS() + SilenceThresholdS())
    return;
  machine->contact.unreachable = true;
  context_->Info("machine unreachable: heartbeats arrive, responses do not",
                 {{"machine", machine->name}});
}

bool HealthMonitor::IsRecordWithoutMachine(const Machine& machine) const {
  return !machine.lifecycle.token_acknowledged && !machine.lifecycle.listed &&
         autoscaler_->inventory_known();
}

// Guards against a leader that alone is cut off from the workers: their leases
// would expire although another controller could answer them. In a large fleet
// a much smaller share in contact tells it sooner.
bool HealthMonitor::MostMachinesSilent(const Census& census) const {
  if (context_->now - term_started_at_ <= SilenceThresholdS()) return false;
  const int in_contact = census.expected - census.silent;
  const int in_recent_contact = census.expected - census.recently_quiet;
  const bool most_silent = census.expected >= kResignMinMachines &&
                           in_contact < census.expected * kResignReachableShare;
  const bool nearly_all_quiet =
      census.expected >= kFastResignMinMachines &&
      in_recent_contact < census.expected * kFastResignReachableShare;
  return most_silent || nearly_all_quiet;
}

HealthMonitor::EarlyReturns HealthMonitor::AllowedEarlyReturns(
    const Census& census) {
  EarlyReturns allowed;
  allowed.silent =
      census.silent <= std::max(1.0, census.expected * kEarlyReleaseMaxShare);
  allowed.blocking_recovery =
      census.blocking_recovery <=
      std::max(1.0, census.expected * kBlockingMachineMaxShare);
  return allowed;
}

void HealthMonitor::Check(Machine* machine, const EarlyReturns& early_returns) {
  if (NeedsTokenPush(*machine)) PushToken(machine);
  if (OutlivedEarlierTerm(*machine)) {
    context_->Info(
        "fencing token not acknowledged in time: tasks presumed gone",
        {{"machine", machine->name}});
    attempts_->ForgetMachineContents(machine);
  }
  if (early_returns.blocking_recovery && BlocksRecovery(*machine)) {
    autoscaler_->Release(machine, ReleaseReason::kBlocksRecovery);
    return;
  }
  if (IsSilent(*machine) || machine->contact.unreachable ||
      TokenUndelivered(*machine))
    HandleLostContact(machine, early_returns.silent);
}

// By heartbeats alone. Guards against a machine that answers pushes but reaches
// no controller: tasks placed on it would never be started.
bool HealthMonitor::IsSilent(const Machine& machine) const {
  return context_->now - machine.contact.last_heartbeat_at >
         SilenceThresholdS();
}

bool HealthMonitor::NeedsTokenPush(const Machine& machine) const {
  // Most machines acknowledge the token in their first heartbeats after a
  // failover.
  const bool acknowledgement_overdue =
      machine.lifecycle.from_earlier_term &&
      context_->now - term_started_at_ >
          kTokenAckHeartbeatIntervals * settings_->heartbeat_interval_s;
  return (acknowledgement_overdue || IsSilent(machine)) &&
         !machine.address.empty() && !machine.contact.push_in_flight &&
         !machine.lifecycle.terminating &&
         context_->now >= machine.contact.next_push_at;
}

// No earlier leader can have kept its tasks alive for so long, whether or not
// it reports or is being returned. Guards against a machine that never
// acknowledges the token and for ever blocks all jobs of earlier terms and
// counts against every team's limit.
bool HealthMonitor::OutlivedEarlierTerm(const Machine& machine) const {
  return machine.lifecycle.from_earlier_term &&
         context_->now > EarlierTermTasksUntil();
}

bool HealthMonitor::BlocksRecovery(const Machine& machine) const {
  // Enough for the first pushes to have timed out.
  const double patience_s =
      kTokenAckHeartbeatIntervals * settings_->heartbeat_interval_s + kPushTimeoutS +
      kPushIntervalS / 2;
  return machine.lifecycle.from_earlier_term &&
         machine.lifecycle.ever_reported && !machine.lifecycle.terminating &&
         machine.contact.unanswered_pushes > 0 &&
         machine.contact.last_applied.sequence == 0 &&
         context_->now - term_started_at_ > patience_s;
}

bool HealthMonitor::TokenUndelivered(const Machine& machine) const {
  return !machine.lifecycle.token_acknowledged &&
         context_->now - machine.contact.last_delivery_proof_at >
             UnreachableThresholdS();
}

void HealthMonitor::HandleLostContact(Machine* machine, bool may_return_early) {
  const MachineContact& contact = machine->contact;
  // Before anything is forgotten, which changes what tells of an earlier term.
  const double tasks_gone_at = TasksGoneAt(*machine);
  attempts_->RemovePlanned(machine);
  if (context_->now > tasks_gone_at && !machine->attempts.empty()) {
    context_->Info("worker lease expired: tasks presumed gone",
                   {{"machine", machine->name}});
    attempts_->ForgetMachineContents(machine);
  }
  const double long_lost_at =
      std::min(contact.last_delivery_proof_at, contact.last_heartbeat_at) +
      WorkerLeaseS() + kUnreachableReleaseDelayS +
      kLongLostWorkerLeases * settings_->worker_lease_s;
  const bool responses_lost = contact.unreachable || TokenUndelivered(*machine);
  const bool push_failed =
      context_->now - contact.last_heartbeat_at > UnreachableThresholdS();
  if ((may_return_early || !machine->lifecycle.identity_confirmed) &&
      responses_lost)
    autoscaler_->Release(machine, ReleaseReason::kUnreachable);
  else if (may_return_early && push_failed)
    autoscaler_->Release(machine, ReleaseReason::kSilent);
  else if (context_->now > tasks_gone_at && context_->now > long_lost_at)
    autoscaler_->Release(machine, ReleaseReason::kLongUnreachable);
}

void HealthMonitor::PushToken(Machine* machine) {
  machine->contact.push_in_flight = true;
  machine->contact.next_push_at = context_->now + kPushIntervalS;
  PushedCommands push;
  push.machine = machine->name;
  push.address = machine->address;
  push.fencing_token = election_->term();
  push.incarnation = machine->contact.last_applied.incarnation;
  const auto on_result = [this, name = machine->name,
                          generation = generation_](const PushResult& result) {
    if (generation == generation_) OnPushResult(name, result);
  };
  context_->PushCommands(std::move(push), on_result);
}

void HealthMonitor::OnPushResult(const std::string& name,
                                 const PushResult& result) {
  Machine* machine = machines_->Find(name);
  if (!machine) return;
  machine->contact.push_in_flight = false;
  // Another machine may have been given the address meanwhile.
  if (!result.answered || result.heartbeat.machine != name) {
    ++machine->contact.unanswered_pushes;
    return;
  }
  machine->contact.unanswered_pushes = 0;
  machine->contact.last_delivery_proof_at = context_->now;
  if (result.heartbeat.id() > machine->contact.last_applied)
    reconciler_->Apply(machine, result.heartbeat,
                       HeartbeatChannel::kPushResponse);
}

}  // namespace sorrelwood
