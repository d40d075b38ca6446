#include "core/workers/heartbeat_handler.h"

#include <utility>
#include <vector>

namespace sorrelwood {
namespace {

constexpr int kServiceUnavailable = 503;

// No newer than a heartbeat that was answered. Guards against a delayed
// duplicate that makes a worker's lease seem to be renewed.
bool IsDuplicate(const Machine& machine, const Heartbeat& heartbeat) {
  return heartbeat.id() <= machine.contact.answered;
}

// Nothing has been answered in this term.
bool IsFirstOfTerm(const Machine& machine) {
  return machine.contact.answered.sequence == 0;
}

bool DirectlyFollows(const HeartbeatId& later, const HeartbeatId& earlier) {
  return later.incarnation == earlier.incarnation &&
         later.sequence == earlier.sequence + 1;
}

}  // namespace

HeartbeatResponse HeartbeatHandler::NewResponse(uint64_t request) const {
  HeartbeatResponse response;
  response.request = request;
  response.fencing_token = election_->term();
  return response;
}

void HeartbeatHandler::Refuse(HeartbeatResponse response) {
  response.status = kServiceUnavailable;
  context_->actions.push_back(std::move(response));
}

void HeartbeatHandler::HandleDuringRecovery(uint64_t request,
                                            const Heartbeat& heartbeat) {
  HeartbeatResponse response = NewResponse(request);
  response.commands = commands_->StopsForEndedJobs(heartbeat);
  context_->actions.push_back(std::move(response));
}

void HeartbeatHandler::Handle(uint64_t request, const Heartbeat& heartbeat) {
  HeartbeatResponse response = NewResponse(request);
  Machine* machine = FindOrAdd(heartbeat);
  if (!machine || IsDuplicate(*machine, heartbeat)) {
    Refuse(std::move(response));
    return;
  }
  RecordDeliveryProof(machine, heartbeat);
  // The answer to a push may have overtaken this heartbeat.
  const bool is_latest = heartbeat.id() > machine->contact.applied;
  if (is_latest)
    reconciler_->Apply(machine, heartbeat, HeartbeatChannel::kHeartbeat);
  if (machine->contact.unreachable) {
    // Not answered, so that its lease is known to expire.
    Refuse(std::move(response));
    return;
  }
  machine->contact.answered = heartbeat.id();
  machine->contact.last_answered_at = context_->now;
  response.commands = is_latest && IsFromThisTerm(heartbeat)
                          ? PlaceAndSelectCommands(machine, heartbeat)
                          : commands_->StopsForEndedJobs(heartbeat);
  context_->actions.push_back(std::move(response));
}

Machine* HeartbeatHandler::FindOrAdd(const Heartbeat& heartbeat) {
  Machine* machine = machines_->Find(heartbeat.machine);
  if (machine || machines_->IsGone(heartbeat.machine)) return machine;
  // Either the cloud's inventory does not list it yet, or this is a delayed
  // duplicate of a heartbeat of a machine that is gone. It is given nothing
  // before it acknowledges the token, and HealthMonitor returns it if it does
  // not.
  machine = machines_->Add(heartbeat.machine);
  machine->type_name = heartbeat.type;
  machine->type = autoscaler_->FindType(heartbeat.type);
  machine->zone = heartbeat.zone;
  machine->spot = heartbeat.spot;
  return machine;
}

bool HeartbeatHandler::IsFromThisTerm(const Heartbeat& heartbeat) const {
  return heartbeat.fencing_token == election_->term();
}

// A worker sends one heartbeat at a time, and the next one to another node when
// it got no response: two in a row to this node prove that the response to the
// first arrived. Delayed duplicates may come in a row too, but none carries
// this term's token.
bool HeartbeatHandler::ProvesDelivery(const Machine& machine,
                                      const Heartbeat& heartbeat) const {
  return IsFromThisTerm(heartbeat) &&
         DirectlyFollows(heartbeat.id(), machine.contact.answered);
}

void HeartbeatHandler::RecordDeliveryProof(Machine* machine,
                                           const Heartbeat& heartbeat) {
  MachineContact& contact = machine->contact;
  const bool proved =
      ProvesDelivery(*machine, heartbeat) || IsFirstOfTerm(*machine);
  if (proved) contact.last_delivery_proof_at = context_->now;
  // After a long silence the time without proof is counted anew: the machine
  // was cut off both ways, which does not make it unreachable now.
  const bool was_silent = context_->now - contact.last_heartbeat_at >
                          health_monitor_->UnreachableThresholdS();
  if (proved || was_silent) contact.delivery_unproven_since = context_->now;
}

std::vector<Command> HeartbeatHandler::PlaceAndSelectCommands(
    Machine* machine, const Heartbeat& heartbeat) {
  unreconciled_->ReserveIn(placement_);
  placement_->FillMachine(machine, election_->term());
  return commands_->Select(machine, heartbeat);
}

}  // namespace sorrelwood
