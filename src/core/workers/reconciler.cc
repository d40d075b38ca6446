#include "core/workers/reconciler.h"

#include <algorithm>
#include <iterator>
#include <vector>

#include "base/constants.h"

namespace sorrelwood {
namespace {

// A start command that was sent as a response longer ago (s) has arrived or is
// lost, even if the worker answered a push meanwhile.
constexpr double kStartInFlightS =
    kHeartbeatAnswerTimeoutS + kPushTimeoutS + kWorkerLeaseMarginS;

// Whether the worker sent the heartbeat after it had received, or given up
// waiting for, the response that carried the start command.
bool SentAfterDispatch(const HeartbeatId& heartbeat,
                       const TaskAttempt& attempt) {
  const HeartbeatId& answered = attempt.dispatched_in_response_to;
  return heartbeat.incarnation != answered.incarnation ||
         heartbeat.sequence > answered.sequence;
}

// Completions that the worker no longer reports need not be tracked.
void ForgetUnreportedCompletions(Machine* machine,
                                 const std::set<TaskId>& reported) {
  std::erase_if(machine->unrecorded_completions, [&](const auto& item) {
    return reported.count(item.first) == 0;
  });
}

}  // namespace

void Reconciler::Apply(Machine* machine, const Heartbeat& heartbeat,
                       HeartbeatChannel channel) {
  RecordContact(machine, heartbeat, channel);
  if (heartbeat.fencing_token > election_->term()) {
    election_->ObserveTerm(heartbeat.fencing_token);
    return;
  }
  const bool from_this_term = heartbeat.fencing_token == election_->term();
  if (from_this_term) machine->lifecycle.identity_confirmed = true;
  // Where the identity is known from elsewhere the record is written while the
  // worker is still to acknowledge the token.
  if (machine->lifecycle.identity_confirmed && !machine->lifecycle.recorded)
    recorder_->Record(machine);
  if (from_this_term)
    ApplyCompleteState(machine, heartbeat, channel);
  else
    ApplyCompletions(machine, heartbeat);
}

void Reconciler::RecordContact(Machine* machine, const Heartbeat& heartbeat,
                               HeartbeatChannel channel) {
  if (!machine->lifecycle.ever_reported) {
    machine->lifecycle.ever_reported = true;
    machine->lifecycle.first_heartbeat_at = context_->now;
    machine->lifecycle.provisioned_at =
        std::min(machine->lifecycle.provisioned_at, context_->now);
  }
  machine->contact.last_contact_at = context_->now;
  if (channel == HeartbeatChannel::kHeartbeat)
    machine->contact.last_heartbeat_at = context_->now;
  if (!heartbeat.address.empty()) machine->address = heartbeat.address;
  if (heartbeat.incarnation != machine->contact.last_applied.incarnation)
    OnNewIncarnation(machine, heartbeat.incarnation);
  machine->contact.last_applied.sequence = heartbeat.sequence;
}

void Reconciler::OnNewIncarnation(Machine* machine, uint64_t incarnation) {
  attempts_->RemoveAll(machine);
  machine->unrecorded_completions.clear();
  machine->images.clear();
  machine->contact.last_applied = {incarnation, 0};
}

// Guards against a delayed duplicate of a report to an earlier leader: only one
// with this term's token is known to be recent. A result stays true for ever.
void Reconciler::ApplyCompletions(Machine* machine,
                                  const Heartbeat& heartbeat) {
  for (const TaskStatus& task : heartbeat.tasks)
    if (task.state == TaskState::kExited && task.reason == ExitReason::kDone)
      task_status_->Apply(machine, task);
}

void Reconciler::ApplyCompleteState(Machine* machine,
                                    const Heartbeat& heartbeat,
                                    HeartbeatChannel channel) {
  if (heartbeat.preemption_notice_s)
    preemption_notices_->OnNotice(machine, *heartbeat.preemption_notice_s);
  std::set<TaskId> reported;
  unreconciled_->ForgetUnknownTasks(*machine);
  for (const TaskStatus& task : heartbeat.tasks) {
    reported.insert({task.job, task.task});
    task_status_->Apply(machine, task);
  }
  RemoveAbsent(machine, heartbeat, channel, reported);
  ForgetUnreportedCompletions(machine, reported);
  if (!machine->lifecycle.token_acknowledged) AcknowledgeToken(machine);
}

void Reconciler::RemoveAbsent(Machine* machine, const Heartbeat& heartbeat,
                              HeartbeatChannel channel,
                              const std::set<TaskId>& reported) {
  std::vector<TaskId> absent;
  for (const auto& [id, attempt] : machine->attempts)
    if (reported.count(id) == 0 && ProvesAbsence(attempt, heartbeat, channel))
      absent.push_back(id);
  for (const TaskId& id : absent) {
    // The removal of one attempt may have removed another.
    const auto it = machine->attempts.find(id);
    if (it != machine->attempts.end()) attempts_->Remove(machine, it);
  }
}

bool Reconciler::ProvesAbsence(const TaskAttempt& attempt,
                               const Heartbeat& heartbeat,
                               HeartbeatChannel channel) const {
  const bool pushed = channel == HeartbeatChannel::kPushResponse;
  switch (attempt.phase) {
    case AttemptPhase::kPlanned: return false;
    case AttemptPhase::kDispatched:
      // The response to a push may have been written while the start command
      // was still on its way.
      return SentAfterDispatch(heartbeat.id(), attempt) &&
             (!pushed ||
              context_->now - attempt.dispatched_at > kStartInFlightS);
    case AttemptPhase::kConfirmed: return !pushed;
  }
  return false;
}

// Only now is the report complete: before, the worker could still accept a
// start command of an earlier leader.
void Reconciler::AcknowledgeToken(Machine* machine) {
  machine->lifecycle.token_acknowledged = true;
  machine->lifecycle.from_earlier_term = false;
  // Until now an earlier leader may have renewed the worker's lease. Guards
  // against presuming its tasks gone while they run, where the token was pushed
  // to a worker that reports to another node and then falls silent.
  machine->contact.last_answered_at = context_->now;
  machine->contact.delivery_unproven_since =
      machine->contact.last_delivery_proof_at = context_->now;
  unreconciled_->Update(*machine);
}

}  // namespace sorrelwood
