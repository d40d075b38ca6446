#include "core/workers/health_monitor.h"

#include <algorithm>
#include <string>
#include <utility>

#include "base/constants/leader_election.h"
#include "base/constants/workers.h"

namespace sorrelwood {

void HealthMonitor::OnTermStarted() {
  ++term_generation_;
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

double HealthMonitor::EarlierTermRenewalsEndAt() const {
  return term_started_at_ + election_->worker_lease_renewal_window_s();
}

double HealthMonitor::LeaseRenewedAt(const Machine& machine) const {
  const double answered_at = machine.contact.last_answered_at;
  return machine.lifecycle.from_earlier_term
             ? std::max(answered_at, EarlierTermRenewalsEndAt())
             : answered_at;
}

double HealthMonitor::TasksEndedBy(const Machine& machine) const {
  return LeaseRenewedAt(machine) + MaxTaskSurvivalS();
}

bool HealthMonitor::MayAnswerWithoutToken(const Machine& machine) const {
  if (!machine.lifecycle.from_earlier_term) return true;
  if (context_->now <= EarlierTermRenewalsEndAt()) return true;
  const double first_answered_at = machine.contact.first_answered_at;
  return first_answered_at == 0 ||
         context_->now <= first_answered_at + UnreachableThresholdS();
}

void HealthMonitor::CheckMachines() {
  const ContactCounts counts = UpdateContactCounts();
  // Resign only while this leader may dispatch: during an outage of the state
  // service no other node could become leader.
  if (election_->MayDispatch() && MostMachinesSilent(counts)) {
    election_->Resign("most machines are silent");
    if (!election_->leading()) return;
  }
  const EarlyReleases early_releases = AllowedEarlyReleases(counts);
  for (auto& [name, machine] : machines_->all())
    if (machine->lifecycle.ever_reported)
      CheckMachine(machine.get(), early_releases);
}

HealthMonitor::ContactCounts HealthMonitor::UpdateContactCounts() {
  const double recent_contact_s =
      kFastResignHeartbeatIntervals * settings_->heartbeat_interval_s;
  ContactCounts counts;
  for (const auto& [name, machine] : machines_->all()) {
    if (BlocksRecovery(*machine)) ++counts.blocking_recovery;
    if (!machine->lifecycle.ever_reported ||
        !machine->lifecycle.identity_confirmed)
      continue;
    DetectUnreachable(machine.get());
    if (IsRecordWithoutMachine(*machine)) continue;
    ++counts.expected;
    const double since_contact_s =
        context_->now - machine->contact.last_contact_at;
    if (machine->contact.unreachable || since_contact_s > SilenceThresholdS())
      ++counts.silent;
    if (since_contact_s > recent_contact_s) ++counts.without_recent_contact;
  }
  return counts;
}

// Marks a machine whose heartbeats arrive and are answered, but which has not
// confirmed any response for longer than the worker lease; a slow network stays
// far below this. Its heartbeats are then refused. Without this check, tasks
// would be sent to the machine that never start.
void HealthMonitor::DetectUnreachable(Machine* machine) const {
  const double unproven_s = machine->contact.last_answered_at -
                            machine->contact.delivery_unproven_since;
  if (machine->contact.unreachable || !machine->lifecycle.token_acknowledged ||
      unproven_s <= MaxTaskSurvivalS() + SilenceThresholdS())
    return;
  machine->contact.unreachable = true;
  context_->Info(
      "machine unreachable: no response confirmed within its worker lease; "
      "refusing its heartbeats so that the lease expires",
      {{"machine", machine->name}});
}

bool HealthMonitor::IsRecordWithoutMachine(const Machine& machine) const {
  return !machine.lifecycle.token_acknowledged && !machine.lifecycle.listed &&
         autoscaler_->inventory_known();
}

// Detects that this leader is cut off from the workers. If it kept leading,
// their leases would expire although another controller could answer them. In a
// large fleet a shorter time suffices if almost no machine is in contact.
bool HealthMonitor::MostMachinesSilent(const ContactCounts& counts) const {
  if (context_->now - term_started_at_ <= SilenceThresholdS()) return false;
  const int in_contact = counts.expected - counts.silent;
  const int in_recent_contact = counts.expected - counts.without_recent_contact;
  const bool most_silent = counts.expected >= kResignMinMachines &&
                           in_contact < counts.expected * kResignReachableShare;
  const bool nearly_all_lost =
      counts.expected >= kFastResignMinMachines &&
      in_recent_contact < counts.expected * kFastResignReachableShare;
  return most_silent || nearly_all_lost;
}

HealthMonitor::EarlyReleases HealthMonitor::AllowedEarlyReleases(
    const ContactCounts& counts) {
  EarlyReleases allowed;
  allowed.silent =
      counts.silent <= std::max(1.0, counts.expected * kEarlyReleaseMaxShare);
  allowed.blocking_recovery =
      counts.blocking_recovery <=
      std::max(1.0, counts.expected * kBlockingMachineMaxShare);
  return allowed;
}

void HealthMonitor::CheckMachine(Machine* machine,
                                 const EarlyReleases& early_releases) {
  if (NeedsTokenPush(*machine)) PushToken(machine);
  if (EarlierTermTasksHaveEnded(*machine)) {
    context_->Info(
        "fencing token not acknowledged before all earlier worker leases "
        "expired; treating the machine as empty",
        {{"machine", machine->name},
         {"lease_age_s", context_->now - LeaseRenewedAt(*machine)}});
    attempts_->ForgetMachineContents(machine);
  }
  if (early_releases.blocking_recovery && BlocksRecovery(*machine)) {
    autoscaler_->Release(machine, ReleaseReason::kBlocksRecovery);
    return;
  }
  if (IsSilent(*machine) || machine->contact.unreachable ||
      IsTokenUndelivered(*machine))
    HandleLostContact(machine, early_releases.silent);
}

// Only heartbeats count. A machine that answers pushes but reaches no
// controller would never receive the start commands of tasks placed on it.
bool HealthMonitor::IsSilent(const Machine& machine) const {
  return context_->now - machine.contact.last_heartbeat_at >
         SilenceThresholdS();
}

bool HealthMonitor::NeedsTokenPush(const Machine& machine) const {
  // Most machines acknowledge the token within their first heartbeats after a
  // failover and need no push.
  const bool acknowledgement_overdue =
      machine.lifecycle.from_earlier_term &&
      context_->now - term_started_at_ >
          kTokenAckHeartbeatIntervals * settings_->heartbeat_interval_s;
  return (acknowledgement_overdue || IsSilent(machine)) &&
         !machine.address.empty() && !machine.contact.push_in_flight &&
         !machine.lifecycle.terminating &&
         context_->now >= machine.contact.next_push_at;
}

// Whether all worker leases that any leader may have renewed on the machine
// have expired. Applies also if the machine reports or is being released.
// Otherwise a machine that never acknowledges the token would block all jobs of
// earlier terms and count against every team's limit indefinitely.
bool HealthMonitor::EarlierTermTasksHaveEnded(const Machine& machine) const {
  return machine.lifecycle.from_earlier_term &&
         context_->now > TasksEndedBy(machine);
}

bool HealthMonitor::BlocksRecovery(const Machine& machine) const {
  // Long enough for the first pushes to have timed out.
  const double min_wait_s =
      kTokenAckHeartbeatIntervals * settings_->heartbeat_interval_s +
      kPushTimeoutS + kPushIntervalS / 2;
  return machine.lifecycle.from_earlier_term &&
         machine.lifecycle.ever_reported && !machine.lifecycle.terminating &&
         machine.contact.unanswered_pushes > 0 &&
         machine.contact.last_applied.sequence == 0 &&
         context_->now - term_started_at_ > min_wait_s;
}

bool HealthMonitor::IsTokenUndelivered(const Machine& machine) const {
  return !machine.lifecycle.token_acknowledged &&
         context_->now - machine.contact.last_delivery_proof_at >
             UnreachableThresholdS();
}

void HealthMonitor::HandleLostContact(Machine* machine,
                                      bool may_release_early) {
  const MachineContact& contact = machine->contact;
  // Computed first: ForgetMachineContents clears `from_earlier_term`, on which
  // the result depends.
  const double tasks_ended_by = TasksEndedBy(*machine);
  attempts_->RemovePlanned(machine);
  if (context_->now > tasks_ended_by && !machine->attempts.empty()) {
    context_->Info(
        "worker lease expired without renewal; rescheduling the tasks of the "
        "machine",
        {{"machine", machine->name}});
    attempts_->ForgetMachineContents(machine);
  }
  const double late_release_at =
      std::min(contact.last_delivery_proof_at, contact.last_heartbeat_at) +
      MaxTaskSurvivalS() + kUnreachableReleaseDelayS +
      kLongLostWorkerLeases * settings_->worker_lease_s;
  const bool responses_are_lost =
      contact.unreachable || IsTokenUndelivered(*machine);
  // The silence has lasted long enough for a push to have failed.
  const bool push_has_failed =
      context_->now - contact.last_heartbeat_at > UnreachableThresholdS();
  if ((may_release_early || !machine->lifecycle.identity_confirmed) &&
      responses_are_lost)
    autoscaler_->Release(machine, ReleaseReason::kUnreachable);
  else if (may_release_early && push_has_failed)
    autoscaler_->Release(machine, ReleaseReason::kSilent);
  else if (context_->now > tasks_ended_by && context_->now > late_release_at)
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
  const uint64_t push_generation = term_generation_;
  const auto on_result = [this, name = machine->name,
                          push_generation](const PushResult& result) {
    if (push_generation == term_generation_) OnPushResult(name, result);
  };
  context_->PushCommands(std::move(push), on_result);
}

void HealthMonitor::OnPushResult(const std::string& name,
                                 const PushResult& result) {
  Machine* machine = machines_->Find(name);
  if (!machine) return;
  machine->contact.push_in_flight = false;
  // The address may have been reassigned to another machine since the push.
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
