#include "core/workers/heartbeat_handler.h"

#include <utility>
#include <vector>

namespace sorrelwood {
namespace {

constexpr int kServiceUnavailable = 503;

// Whether the heartbeat is no newer than the latest answered one. Answering a
// delayed duplicate would make the worker's lease appear to be renewed.
bool IsDuplicate(const Machine& machine, const Heartbeat& heartbeat) {
  return heartbeat.id() <= machine.contact.last_answered;
}

// Whether no heartbeat of the machine has been answered in this term.
bool IsFirstOfTerm(const Machine& machine) {
  return machine.contact.last_answered.sequence == 0;
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

void HeartbeatHandler::RespondUnavailable(HeartbeatResponse response) {
  response.status = kServiceUnavailable;
  context_->actions.push_back(std::move(response));
}

void HeartbeatHandler::HandleDuringRecovery(uint64_t request,
                                            const Heartbeat& heartbeat) {
  HeartbeatResponse response = NewResponse(request);
  response.commands = commands_->SelectStopsForEndedJobs(heartbeat);
  context_->actions.push_back(std::move(response));
}

void HeartbeatHandler::Handle(uint64_t request, const Heartbeat& heartbeat) {
  HeartbeatResponse response = NewResponse(request);
  Machine* machine = FindOrAdd(heartbeat);
  if (!machine || IsDuplicate(*machine, heartbeat)) {
    RespondUnavailable(std::move(response));
    return;
  }
  RecordDeliveryProof(machine, heartbeat);
  // A newer report may already have arrived as the answer to a push.
  const bool is_latest = heartbeat.id() > machine->contact.last_applied;
  if (is_latest)
    reconciler_->Apply(machine, heartbeat, HeartbeatChannel::kHeartbeat);
  if (!MayAnswer(*machine, heartbeat)) {
    RespondUnavailable(std::move(response));
    return;
  }
  RecordAnswer(machine, heartbeat);
  response.commands = is_latest && IsFromThisTerm(heartbeat)
                          ? PlaceAndSelectCommands(machine, heartbeat)
                          : commands_->SelectStopsForEndedJobs(heartbeat);
  context_->actions.push_back(std::move(response));
}

Machine* HeartbeatHandler::FindOrAdd(const Heartbeat& heartbeat) {
  Machine* machine = machines_->Find(heartbeat.machine);
  if (machine || machines_->WasRemoved(heartbeat.machine)) return machine;
  // Either the cloud's inventory does not list the machine yet, or this is a
  // delayed duplicate of a heartbeat of a machine that is gone. The machine
  // receives no tasks until it acknowledges the token, and HealthMonitor
  // releases it if it does not.
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

// A worker has one heartbeat in flight at a time, and sends the next one to
// another node if it received no response. Two consecutive heartbeats to this
// node therefore prove that the response to the first one arrived. Delayed
// duplicates may be consecutive too, but do not carry this term's token.
bool HeartbeatHandler::ProvesDelivery(const Machine& machine,
                                      const Heartbeat& heartbeat) const {
  return IsFromThisTerm(heartbeat) &&
         DirectlyFollows(heartbeat.id(), machine.contact.last_answered);
}

void HeartbeatHandler::RecordDeliveryProof(Machine* machine,
                                           const Heartbeat& heartbeat) {
  MachineContact& contact = machine->contact;
  // The first heartbeat of the term proves nothing, but starts the time in
  // which a proof is expected.
  const bool is_proved =
      ProvesDelivery(*machine, heartbeat) || IsFirstOfTerm(*machine);
  if (is_proved) contact.last_delivery_proof_at = context_->now;
  // The time without proof starts again after a long silence: the machine was
  // cut off in both directions, which does not mean that it is unreachable now.
  const bool was_silent = context_->now - contact.last_heartbeat_at >
                          health_monitor_->UnreachableThresholdS();
  if (is_proved || was_silent) contact.delivery_unproven_since = context_->now;
}

bool HeartbeatHandler::MayAnswer(const Machine& machine,
                                 const Heartbeat& heartbeat) const {
  if (machine.contact.unreachable) return false;
  return IsFromThisTerm(heartbeat) ||
         health_monitor_->MayAnswerWithoutToken(machine);
}

void HeartbeatHandler::RecordAnswer(Machine* machine,
                                    const Heartbeat& heartbeat) {
  MachineContact& contact = machine->contact;
  if (IsFirstOfTerm(*machine)) contact.first_answered_at = context_->now;
  contact.last_answered = heartbeat.id();
  contact.last_answered_at = context_->now;
}

std::vector<Command> HeartbeatHandler::PlaceAndSelectCommands(
    Machine* machine, const Heartbeat& heartbeat) {
  unreconciled_->ReserveCapacityIn(placement_);
  placement_->FillMachine(machine, election_->term());
  return commands_->Select(machine, heartbeat);
}

}  // namespace sorrelwood
