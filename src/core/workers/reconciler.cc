#include "core/workers/reconciler.h"

#include <algorithm>
#include <iterator>
#include <vector>

#include "base/constants/leader_election.h"
#include "base/constants/workers.h"
#include "protocol/worker_message_size.h"

namespace sorrelwood {
namespace {

// A start command that was sent in a response longer ago than this (s) has
// either arrived or is lost, even if the worker answered a push in between.
constexpr double kMaxStartCommandDelayS =
    kHeartbeatAnswerTimeoutS + kPushTimeoutS + kWorkerLeaseMarginS;

// Whether the worker sent the heartbeat after it had received the response with
// the start command, or had stopped waiting for it.
bool SentAfterDispatch(const HeartbeatId& heartbeat,
                       const TaskAttempt& attempt) {
  const HeartbeatId& answered = attempt.dispatched_in_response_to;
  return heartbeat.incarnation != answered.incarnation ||
         heartbeat.sequence > answered.sequence;
}

// Updates the size of the reported tasks that are not tracked.
void CountUntrackedReportBytes(Machine* machine, const Heartbeat& heartbeat) {
  size_t bytes = 0;
  for (const TaskStatus& task : heartbeat.tasks) {
    const auto attempt = machine->attempts.find({task.job, task.task});
    const bool is_tracked = attempt != machine->attempts.end() &&
                            attempt->second.number == task.attempt;
    if (!is_tracked) bytes += protocol::MaxReportedTaskBytes(task.job);
  }
  machine->untracked_report_bytes = static_cast<double>(bytes);
}

// Drops completions that the worker no longer reports.
void ForgetUnreportedCompletions(Machine* machine,
                                 const std::set<TaskId>& reported) {
  std::erase_if(machine->unrecorded_completions, [&](const auto& completion) {
    return reported.count(completion.first) == 0;
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
  // If the identity is confirmed by other means, the record is written before
  // the worker acknowledges the token.
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
  machine->untracked_report_bytes = 0;
  machine->contact.last_applied = {incarnation, 0};
}

// A report without this term's token may be a delayed duplicate of a report to
// an earlier leader, so its view of running tasks may be outdated. A completion
// never becomes outdated.
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
  CountUntrackedReportBytes(machine, heartbeat);
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
    // Removing one attempt may also have removed another.
    const auto attempt_entry = machine->attempts.find(id);
    if (attempt_entry != machine->attempts.end())
      attempts_->Remove(machine, attempt_entry);
  }
}

bool Reconciler::ProvesAbsence(const TaskAttempt& attempt,
                               const Heartbeat& heartbeat,
                               HeartbeatChannel channel) const {
  const bool is_push_response = channel == HeartbeatChannel::kPushResponse;
  switch (attempt.phase) {
    case AttemptPhase::kPlanned: return false;
    case AttemptPhase::kDispatched:
      // The worker may have answered a push while the start command was still
      // in transit.
      return SentAfterDispatch(heartbeat.id(), attempt) &&
             (!is_push_response ||
              context_->now - attempt.dispatched_at > kMaxStartCommandDelayS);
    case AttemptPhase::kConfirmed: return !is_push_response;
  }
  return false;
}

// From now on the worker's reports are complete. Before, it could still accept
// a start command of an earlier leader.
void Reconciler::AcknowledgeToken(Machine* machine) {
  machine->lifecycle.token_acknowledged = true;
  machine->lifecycle.from_earlier_term = false;
  // Until now an earlier leader may have renewed the worker's lease, so the
  // lease is counted from now. Otherwise its tasks could be considered ended
  // while they still run, if the token was pushed to a worker that sends its
  // heartbeats to another node and then becomes silent.
  machine->contact.last_answered_at = context_->now;
  machine->contact.delivery_unproven_since =
      machine->contact.last_delivery_proof_at = context_->now;
  unreconciled_->Update(*machine);
}

}  // namespace sorrelwood
