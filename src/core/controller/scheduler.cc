#include "core/controller/scheduler.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include "base/constants.h"
#include "core/coordination/keys.h"
#include "protocol/stored_records_codec.h"

namespace sorrelwood {

Scheduler::Scheduler(Context* context, JobCache* job_cache,
                     LeaderElection* election, const ClusterSettings* settings,
                     const StateLimitTracker* limits,
                     const PolicySettings& policy, uint64_t seed)
    : context_(context),
      job_cache_(job_cache),
      election_(election),
      settings_(settings),
      policy_(policy),
      placement_(context, &jobs_, &machines_, settings),
      writer_(context, election, limits),
      completions_(&jobs_, &writer_, limits),
      autoscaler_(context, &jobs_, &machines_, &placement_, &writer_, limits,
                  settings, policy),
      replicas_(context, &jobs_, &machines_, &placement_),
      preemption_(context, &jobs_, &machines_, &placement_, settings),
      waiting_(context, &jobs_, &machines_, policy, seed),
      spread_placement_(&jobs_, &machines_, settings, policy.spread),
      rebalancer_(context, &jobs_, &machines_, &placement_, settings,
                  policy.spread),
      monitor_(context, &machines_, election, &autoscaler_, settings,
               {[this](Machine* machine, const Heartbeat& heartbeat) {
                  ApplyHeartbeat(machine, heartbeat, /*direct=*/true);
                },
                [this](Machine* machine) { RemovePlannedAttempts(machine); },
                [this](Machine* machine) { ForgetMachineContents(machine); }}) {
  autoscaler_.on_gone = [this](Machine* machine) {
    ForgetMachineContents(machine);
    rebalancer_.OnMachineGone(machine->name);
  };
  if (policy.spread.placement) placement_.set_spread(&spread_placement_);
}

void Scheduler::UpdateCatalog(const std::vector<MachineType>& types) {
  autoscaler_.UpdateCatalog(types);
  unreconciled_.Recount(machines_.all());
}

// --- Taking over
// -----------------------------------------------------------------

void Scheduler::OnLeadershipAcquired() {
  OnLeadershipLost();
  Load();
}

void Scheduler::OnLeadershipLost() {
  active_ = false;
  reload_at_ = 0;
  ++generation_;
  monitor_.Begin();
  writer_.Clear();
  autoscaler_.Clear();
  jobs_.Clear();
  machines_.Clear();
  completions_.Clear();
  completed_jobs_.clear();
  unreconciled_.Clear();
  rebalancer_.Clear();
}

// Machines, progress, jobs, rents: all read after the term was taken, when no
// earlier leader can write any more.
void Scheduler::Load() {
  const auto step = [this](const std::string& prefix, auto next) {
    context_->List(prefix, [this, next, generation = generation_](
                               const StateResult& result) {
      if (generation != generation_) return;
      if (result.outcome != Outcome::kOk)
        LoadFailed();
      else
        next(result);
    });
  };
  step(keys::kMachine, [this, step](const StateResult& machines) {
    LoadMachines(machines);
    step(keys::kProgress, [this, step](const StateResult& progress) {
      completions_.Load(progress);
      step(keys::kLive, [this, step](const StateResult& live) {
        job_cache_->ApplyListing(live);
        step(keys::kRent,
             [this](const StateResult& rents) { Activate(rents); });
      });
    });
  });
}

void Scheduler::LoadFailed() {
  ++generation_;
  machines_.Clear();
  completions_.Clear();
  reload_at_ = context_->now + kRecoveryRetryS;
}

void Scheduler::LoadMachines(const StateResult& result) {
  for (const KeyValue& item : result.items) {
    writer_.CacheVersion(item.key, item.version);
    const auto record = protocol::ParseMachineRecord(item.value);
    if (!record) continue;
    Machine* machine = machines_.Add(record->name);
    machine->address = record->address;
    machine->type_name = record->type;
    machine->type = autoscaler_.FindType(record->type);
    machine->zone = record->zone;
    machine->spot = record->spot;
    machine->lifecycle.recorded = true;
    machine->lifecycle.from_earlier_term = true;
    machine->lifecycle.ever_reported = true;
    machine->lifecycle.identity_confirmed = true;
    machine->lifecycle.rented_at = machine->contact.last_contact_at =
        machine->contact.last_heartbeat_at = machine->contact.last_answered_at =
            machine->contact.last_delivery_proof_at = context_->now;
  }
}

void Scheduler::Activate(const StateResult& rents) {
  std::vector<ProvisioningRecord> records;
  for (const KeyValue& item : rents.items) {
    writer_.CacheVersion(item.key, item.version);
    if (auto record = protocol::ParseProvisioningRecord(item.value))
      records.push_back(std::move(*record));
  }
  active_ = true;
  autoscaler_.Load(election_->term(), records);
  for (const auto& [id, known] : job_cache_->live()) OnJobLive(id);
  completions_.FinishLoading();
  unreconciled_.Recount(machines_.all());
  context_->Info(
      "failover recovery complete",
      {{"jobs", jobs_.all().size()}, {"machines", machines_.all().size()}});
}

void Scheduler::OnJobLive(const std::string& id) {
  if (!active_) return;
  const CachedJob* known = job_cache_->FindLive(id);
  if (!known || jobs_.Find(id)) return;
  const bool from_earlier_term =
      known->version < election_->leader_precondition().version;
  Job* job =
      jobs_.Add(known->job, known->version, from_earlier_term, context_->now);
  if (context_->debug)
    context_->Debug("new job", {{"job", id},
                                {"class", job->spec().job_class},
                                {"tasks", job->spec().tasks},
                                {"image", job->spec().image},
                                {"team", job->spec().team}});
  next_rank_ = 0;  // with the next tick: a takeover brings hundreds at once
  completions_.Restore(job);
  if (job->progress.done.size() == job->spec().tasks)
    completed_jobs_.push_back(id);
}

void Scheduler::OnJobEnded(const std::string& id, FinalState) {
  if (!active_) return;
  Job* job = jobs_.Find(id);
  if (!job) return;
  // Whatever of it may still be on a machine must go, and counts until then.
  const auto attempt = job->progress.machine_of_task;
  for (const auto& [task, name] : attempt) {
    Machine* machine = machines_.Find(name);
    if (!machine) continue;
    auto it = machine->attempts.find({id, task});
    if (it == machine->attempts.end()) continue;
    it->second.job_active = false;
    it->second.stop = true;
    it->second.stop_grace_s = 0;
    if (it->second.phase == AttemptPhase::kPlanned) RemoveAttempt(machine, it);
  }
  rebalancer_.OnJobEnded(id);
  completions_.Remove(id);
  jobs_.Remove(id);
}

// --- Hearing machines
// ----------------------------------------------------------------

void Scheduler::OnHeartbeat(uint64_t request, const Heartbeat& heartbeat) {
  HeartbeatResponse answer;
  answer.request = request;
  answer.fencing_token = election_->term();
  if (!active_) {
    // The records are not read yet: kept, given nothing.
    answer.commands = StopsForEndedJobs(heartbeat);
    context_->out.push_back(std::move(answer));
    return;
  }
  Machine* machine = machines_.Find(heartbeat.machine);
  if (!machine && !machines_.IsGone(heartbeat.machine)) {
    // Not listed yet, or a late copy of a report of one that is gone: until it
    // shows our token it only waits, and not for long (HealthMonitor).
    machine = machines_.Add(heartbeat.machine);
    machine->type_name = heartbeat.type;
    machine->type = autoscaler_.FindType(heartbeat.type);
    machine->zone = heartbeat.zone;
    machine->spot = heartbeat.spot;
  }
  // A report that is no newer than one that was answered is a copy, and so is
  // one of a machine that is gone. Guards against a copy that renews what we
  // believe of a lease.
  const bool copy =
      !machine || std::make_pair(heartbeat.incarnation, heartbeat.sequence) <=
                      std::make_pair(machine->contact.answered_incarnation,
                                     machine->contact.answered_sequence);
  if (copy) {
    answer.status = 503;
    context_->out.push_back(std::move(answer));
    return;
  }
  // One report is under way at a time, and without our answer the next goes to
  // another node: two in a row mean that the answer arrived. (Late copies may
  // come in a row too, but none shows our token.)
  const bool in_a_row =
      heartbeat.fencing_token == election_->term() &&
      heartbeat.incarnation == machine->contact.answered_incarnation &&
      heartbeat.sequence == machine->contact.answered_sequence + 1;
  const bool first = machine->contact.answered_sequence == 0;  // of this term
  if (in_a_row || first)
    machine->contact.last_delivery_proof_at = context_->now;
  // After a silence the count starts again: it was cut off, not unreachable.
  const bool was_silent = context_->now - machine->contact.last_heartbeat_at >
                          monitor_.UnreachableThreshold();
  if (in_a_row || first || was_silent)
    machine->contact.delivery_unproven_since = context_->now;
  const bool newer =
      std::make_pair(heartbeat.incarnation, heartbeat.sequence) >
      std::make_pair(machine->contact.incarnation, machine->contact.sequence);
  if (newer) ApplyHeartbeat(machine, heartbeat, /*direct=*/false);
  if (machine->contact.unreachable) {
    // Not answered any more, so that its lease is known to run out.
    answer.status = 503;
    context_->out.push_back(std::move(answer));
    return;
  }
  machine->contact.answered_incarnation = heartbeat.incarnation;
  machine->contact.answered_sequence = heartbeat.sequence;
  machine->contact.last_answered_at = context_->now;
  if (newer && heartbeat.fencing_token == election_->term()) {
    UpdateUnreconciled();
    placement_.FillMachine(machine, election_->term());
    answer.commands = SelectCommands(machine, heartbeat);
  } else {
    answer.commands = StopsForEndedJobs(heartbeat);
  }
  context_->out.push_back(std::move(answer));
}

// Guards against answers that keep the tasks of a cancelled job alive without
// an order to stop them: of a leader that has not read its records yet, perhaps
// for a whole outage, and of leaders that change so fast that no report shows
// the token of the one that hears it.
std::vector<Command> Scheduler::StopsForEndedJobs(
    const Heartbeat& heartbeat) const {
  std::vector<Command> stops;
  for (const TaskStatus& task : heartbeat.tasks)
    if (task.state != TaskState::kExited && !job_cache_->FindLive(task.job))
      stops.push_back(
          {CommandKind::kStop, task.job, task.task, task.attempt, 0});
  return stops;
}

void Scheduler::ApplyHeartbeat(Machine* machine, const Heartbeat& heartbeat,
                               bool direct) {
  if (!machine->lifecycle.ever_reported) {
    machine->lifecycle.ever_reported = true;
    machine->lifecycle.came_up_at = context_->now;
    machine->lifecycle.rented_at =
        std::min(machine->lifecycle.rented_at, context_->now);
  }
  machine->contact.last_contact_at = context_->now;
  if (!direct) machine->contact.last_heartbeat_at = context_->now;
  if (!heartbeat.address.empty()) machine->address = heartbeat.address;
  if (heartbeat.incarnation != machine->contact.incarnation)
    OnNewIncarnation(machine, heartbeat.incarnation);
  machine->contact.sequence = heartbeat.sequence;
  if (heartbeat.fencing_token > election_->term()) {
    election_->ObserveTerm(heartbeat.fencing_token);
    return;
  }
  // One that we know otherwise than from this report is written down while it
  // is being shown our token.
  if (machine->lifecycle.identity_confirmed && !machine->lifecycle.recorded)
    Record(machine);
  if (heartbeat.fencing_token < election_->term()) {
    // It may be a late copy: what it holds is not believed before it has shown
    // our token, which no copy of an earlier term's report can. A result is one
    // for ever.
    for (const TaskStatus& task : heartbeat.tasks)
      if (task.state == TaskState::kExited && task.reason == ExitReason::kDone)
        ApplyTaskStatus(machine, task);
    return;
  }
  machine->lifecycle.identity_confirmed = true;
  if (!machine->lifecycle.recorded) Record(machine);
  if (heartbeat.preemption_notice_s &&
      machine->lifecycle.preemption_deadline == 0) {
    machine->lifecycle.preemption_deadline =
        context_->now + std::max(0.0, *heartbeat.preemption_notice_s);
    OnPreemptionNotice(machine);
  }
  std::set<TaskId> present;
  unreconciled_.ForgetUnknownTasks(*machine);
  for (const TaskStatus& task : heartbeat.tasks) {
    present.insert({task.job, task.task});
    ApplyTaskStatus(machine, task);
  }
  std::vector<TaskId> missing;
  for (const auto& [key, attempt] : machine->attempts) {
    if (present.count(key)) continue;
    // Proof of absence: the report was sent after the one that the launch
    // answered, so that answer was dropped or the task has gone. An answer to a
    // direct command proves nothing about a launch still under way.
    const bool answer_dropped =
        attempt.phase == AttemptPhase::kDispatched &&
        (attempt.dispatched_incarnation != heartbeat.incarnation ||
         heartbeat.sequence > attempt.dispatched_sequence) &&
        (!direct ||
         context_->now - attempt.dispatched_at >
             kHeartbeatAnswerTimeoutS + kPushTimeoutS + kWorkerLeaseMarginS);
    const bool ended = attempt.phase == AttemptPhase::kConfirmed && !direct;
    if (answer_dropped || ended) missing.push_back(key);
  }
  for (const TaskId& key : missing) {
    auto it = machine->attempts.find(key);
    if (it != machine->attempts.end()) RemoveAttempt(machine, it);
  }
  for (auto it = machine->unrecorded_completions.begin();
       it != machine->unrecorded_completions.end();)
    it = present.count(it->first) ? std::next(it)
                                  : machine->unrecorded_completions.erase(it);
  // Only a machine that shows our token takes no orders from an earlier leader
  // any more: until then its report may miss a launch of his.
  if (!machine->lifecycle.token_acknowledged) {
    machine->lifecycle.token_acknowledged = true;
    machine->lifecycle.from_earlier_term = false;
    // Until it showed our token an earlier leader may have answered it: its
    // lease counts from now. Guards against taking its tasks for gone while
    // they run, where it was shown the token directly and then fell silent.
    machine->contact.last_answered_at = context_->now;
    machine->contact.delivery_unproven_since =
        machine->contact.last_delivery_proof_at = context_->now;
    unreconciled_.Update(*machine);
  }
}

// A higher incarnation: the worker killed and forgot all that it had.
void Scheduler::OnNewIncarnation(Machine* machine, uint64_t incarnation) {
  RemoveAllAttempts(machine);
  machine->unrecorded_completions.clear();
  machine->images.clear();
  machine->contact.incarnation = incarnation;
  machine->contact.sequence = 0;
}

void Scheduler::ApplyTaskStatus(Machine* machine, const TaskStatus& task) {
  const TaskId key{task.job, task.task};
  auto it = machine->attempts.find(key);
  TaskAttempt* attempt =
      it == machine->attempts.end() || it->second.number != task.attempt
          ? nullptr
          : &it->second;
  if (task.state == TaskState::kExited) {
    ApplyTaskExit(machine, task, attempt);
    return;
  }
  if (!attempt) {
    AdoptAttempt(machine, task);
    return;
  }
  attempt->phase = AttemptPhase::kConfirmed;
  if (task.state == TaskState::kRunning && attempt->running_since == 0) {
    attempt->running_since = context_->now;
    machine->FinishFetch(attempt->record->spec.image);
    if (context_->debug)
      context_->Debug(
          "task running",
          {{"job", task.job}, {"task", task.task}, {"machine", machine->name}});
    if (Job* job = jobs_.Find(task.job)) waiting_.LearnStart(job, *machine);
  }
  attempt->state = task.state;
  if (!attempt->record->spec.IsService()) return;
  Job* job = jobs_.Find(task.job);
  if (!job || !replicas_.BecameStable(job, task.task, attempt)) return;
  OnTaskSucceeded(machine);
  OnTaskSucceeded(job);
}

// A task that an earlier leader placed, or that nobody should have.
void Scheduler::AdoptAttempt(Machine* machine, const TaskStatus& task) {
  Job* job = jobs_.Find(task.job);
  const TaskId key{task.job, task.task};
  if (!job || task.task >= job->spec().tasks) {
    // Of a job that has ended; what it takes of a limit is not known.
    unreconciled_.AddUnknownTask(*machine);
    return;
  }
  if (machine->attempts.count(key))
    return;  // with another attempt: judged by it
  auto elsewhere = job->progress.machine_of_task.find(task.task);
  if (elsewhere != job->progress.machine_of_task.end()) {
    Machine* other = machines_.Find(elsewhere->second);
    auto it =
        other ? other->attempts.find(key) : decltype(machine->attempts.end())();
    // Only chosen, not sent: the one that is there stays.
    if (other && it != other->attempts.end() &&
        it->second.phase == AttemptPhase::kPlanned)
      RemoveAttempt(other, it);
    else
      return;  // stopped by SelectCommands: it is not ours
  }
  TaskAttempt attempt;
  attempt.number = task.attempt;
  attempt.cpus = job->spec().cpus;
  attempt.gpus = job->spec().gpus;
  attempt.memory_gb = job->spec().memory_gb;
  attempt.record = job->record;
  attempt.phase = AttemptPhase::kConfirmed;
  attempt.state = task.state;
  attempt.running_since = task.state == TaskState::kRunning ? context_->now : 0;
  attempt.speculative = !machine->role.baseline;
  attempt.stop = job->progress.done.Contains(task.task);
  jobs_.Place(job, task.task, machine->name, machine->zone);
  machine->AddAttempt(key, std::move(attempt));
  machine->TouchImage(job->spec().image);
}

void Scheduler::ApplyTaskExit(Machine* machine, const TaskStatus& task,
                              TaskAttempt* attempt) {
  const TaskId key{task.job, task.task};
  Job* job = jobs_.Find(task.job);
  const bool waiting = attempt && attempt->requeue_for_baseline;
  const bool rented = attempt && attempt->requeue_on_rented;
  const bool told_to_stop = attempt && attempt->stop;
  const double ran = attempt && attempt->running_since > 0
                         ? context_->now - attempt->running_since
                         : 0;
  if (task.reason == ExitReason::kDone && job && !job->spec().IsService())
    rebalancer_.TaskDone(task.job, task.task);
  if (attempt) RemoveAttempt(machine, machine->attempts.find(key));
  if (attempt && !told_to_stop && job && job->spec().IsService() &&
      task.reason != ExitReason::kStopped)
    replicas_.Ended(job, task.task, ran);
  switch (task.reason) {
    case ExitReason::kDone:
      if (!job || task.task >= job->spec().tasks) return;
      // It is to run until its job is cancelled.
      if (job->spec().IsService()) return;
      // A task that saved before may run only its rest: not a sample.
      if (ran > 0 && job->spec().checkpoint_s == 0) {
        jobs_.LearnRunTime(job->spec(), ran);
        rebalancer_.LearnRunTime(job->id(), machine->name, ran);
      }
      OnTaskSucceeded(machine);
      machine->unrecorded_completions[key] = task.attempt;
      OnTaskCompleted(job, task.task);
      return;
    case ExitReason::kError:
      // A replica that has run well tells nothing of its machine.
      if (attempt && job &&
          !(job->spec().IsService() && ran >= kReplicaStableS))
        OnTaskFailed(machine, job, task.task);
      return;
    case ExitReason::kNoRoom:
    case ExitReason::kBusy:
      if (attempt)
        machine->health.refused_until = context_->now + kRefusedStartPauseS;
      return;
    case ExitReason::kUnknown:
      if (attempt && job)
        job->failures.retry_at = context_->now + kJobRetryPauseS;
      return;
    case ExitReason::kStopped:
    case ExitReason::kNone:
      if (!job || !job->progress.pending.Contains(task.task)) return;
      if (waiting) job->speculation.waiting_since[task.task] = context_->now;
      if (rented && !job->speculation.run_on_rented.Contains(task.task))
        job->speculation.run_on_rented.Add(task.task);
      return;
  }
}

void Scheduler::RemoveAttempt(Machine* machine,
                              std::map<TaskId, TaskAttempt>::iterator it) {
  const TaskId key = it->first;
  const TaskAttempt attempt = machine->RemoveAttempt(it);
  Job* job = jobs_.Find(key.job);
  if (!job || !attempt.job_active) {
    jobs_.AddOrphanedUsage(attempt.record->spec.team, -attempt.cpus,
                           -attempt.gpus);
    return;
  }
  jobs_.Unplace(job, key.task, machine->zone);
  rebalancer_.Released(job, key.task, election_->term());
}

void Scheduler::RemovePlannedAttempts(Machine* machine) {
  for (auto it = machine->attempts.begin(); it != machine->attempts.end();) {
    auto next = std::next(it);
    if (it->second.phase == AttemptPhase::kPlanned) RemoveAttempt(machine, it);
    it = next;
  }
}

void Scheduler::RemoveAllAttempts(Machine* machine) {
  while (!machine->attempts.empty())
    RemoveAttempt(machine, machine->attempts.begin());
  unreconciled_.ForgetUnknownTasks(*machine);
  unreconciled_.Update(*machine);
}

// The machine is gone, or no leader can have kept its tasks alive so long. A
// new incarnation alone is less: an earlier leader may have placed tasks in it.
void Scheduler::ForgetMachineContents(Machine* machine) {
  machine->lifecycle.from_earlier_term = false;
  machine->unrecorded_completions.clear();
  RemoveAllAttempts(machine);
}

// A task has run as it should there: what failed before tells nothing of it.
void Scheduler::OnTaskSucceeded(Machine* machine) {
  machine->health.errors.clear();
  if (machine->health.quarantined) ReassessQuarantine(machine);
}

// The job's failures elsewhere tell of those machines.
void Scheduler::OnTaskSucceeded(Job* job) {
  const std::set<std::string> failed_on =
      std::exchange(job->failures.machines, {});
  job->failures.rounds = 0;
  job->failures.retry_at = 0;
  for (const std::string& name : failed_on)
    if (Machine* other = machines_.Find(name)) ReassessQuarantine(other);
}

void Scheduler::OnTaskCompleted(Job* job, uint32_t task) {
  if (job->progress.done.Contains(task)) return;
  jobs_.MarkDone(job, task);
  OnTaskSucceeded(job);
  if (job->progress.done.size() == job->spec().tasks)
    completed_jobs_.push_back(job->id());
  else
    completions_.MarkDirty(job->id());
  // Its result is kept: another attempt of it, if there is one, is of no use.
  auto elsewhere = job->progress.machine_of_task.find(task);
  if (elsewhere == job->progress.machine_of_task.end()) return;
  Machine* machine = machines_.Find(elsewhere->second);
  if (!machine) return;
  auto it = machine->attempts.find({job->id(), task});
  if (it != machine->attempts.end()) it->second.stop = true;
}

// Who is at fault, the job or the machine? A job that has succeeded somewhere
// is not; one that has failed on several machines and succeeded nowhere is.
// Until that is known its failure counts once against the machine.
void Scheduler::OnTaskFailed(Machine* machine, Job* job, uint32_t task) {
  const bool proven = job->succeeded();
  if (context_->debug)
    context_->Debug(
        "task failed",
        {{"job", job->id()}, {"task", task}, {"machine", machine->name}});
  job->failures.last_error_at = context_->now;
  const bool news = job->failures.machines.insert(machine->name).second;
  if (job->failing() && context_->now >= job->failures.retry_at) {
    // Tried again at a falling rate, however many tasks of a round fail.
    const double pause =
        kJobRetryPauseS * std::pow(2.0, std::min(++job->failures.rounds, 10));
    job->failures.retry_at =
        context_->now + std::min(pause, kJobRetryPauseMaxS);
  }
  if (news && job->broken() &&
      job->failures.machines.size() == kBrokenJobMachines) {
    context_->Info("job fails on every machine", {{"job", job->id()}});
    // Those that were set aside for it are taken back.
    for (const std::string& name : job->failures.machines)
      if (Machine* other = machines_.Find(name)) ReassessQuarantine(other);
  }
  if (proven && ++job->failures.task_errors[task] >= kBrokenTaskErrors) return;
  if (job->replicas.ends_by_itself) return;  // it tells nothing of machines
  ++machine->health.errors[job->id()];
  ReassessQuarantine(machine);
}

// Guards against a machine that swallows the queue, and against jobs that fail
// everywhere taking good machines with them.
void Scheduler::ReassessQuarantine(Machine* machine) {
  int proven = 0;
  size_t unproven = 0;
  for (const auto& [id, errors] : machine->health.errors) {
    const Job* job = jobs_.Find(id);
    if (!job || job->broken()) continue;  // it was the job, or can't be told
    if (!job->succeeded())
      ++unproven;
    else
      proven += errors;
  }
  const bool sick =
      proven >= kQuarantineErrors || unproven >= kQuarantineFailingJobs;
  if (proven >= kQuarantineErrors) machine->health.suspect_until = 0;
  if (sick == machine->health.quarantined) return;
  machine->health.quarantined = sick;
  context_->Info(sick ? "machine quarantined: its tasks fail"
                      : "machine back from quarantine: the jobs were at fault",
                 {{"machine", machine->name}});
  if (sick && proven < kQuarantineErrors)
    machine->health.suspect_until = context_->now + kSuspectMachineAvoidS;
  if (proven < kQuarantineErrors) return;
  for (auto& [key, attempt] : machine->attempts) {
    const Job* other = jobs_.Find(key.job);
    attempt.stop = true;
    attempt.stop_grace_s = other ? other->spec().save_s : 0;
  }
}

// What can save does so and moves; what would end in time runs on; the rest
// loses its work either way and moves at once.
void Scheduler::OnPreemptionNotice(Machine* machine) {
  const double left = machine->lifecycle.preemption_deadline - context_->now;
  for (auto& [key, attempt] : machine->attempts) {
    const Job* job = jobs_.Find(key.job);
    // A replica goes once there is a place for it: ReplicaManager.
    if (!job || job->spec().IsService()) continue;
    const double ran =
        attempt.running_since > 0 ? context_->now - attempt.running_since : 0;
    const bool ends = attempt.running_since > 0 &&
                      jobs_.Estimate(job->spec()) - ran < left * 0.5;
    if (ends) continue;
    attempt.stop = true;
    attempt.stop_grace_s =
        job->spec().checkpoint_s > 0 && job->spec().save_s < left
            ? job->spec().save_s
            : 0;
  }
}

std::vector<Command> Scheduler::SelectCommands(Machine* machine,
                                               const Heartbeat& heartbeat) {
  std::vector<Command> orders;
  for (const TaskStatus& task : heartbeat.tasks) {
    const TaskId key{task.job, task.task};
    Job* job = jobs_.Find(task.job);
    if (task.state == TaskState::kExited) {
      // A completion is cleared only once it is written down, or the job has
      // ended: guards against a result that a crash would make us
      // forget. A replica is never complete.
      const bool keep = task.reason == ExitReason::kDone && job &&
                        !job->spec().IsService() &&
                        !job->progress.committed.Contains(task.task);
      if (!keep)
        orders.push_back(
            {CommandKind::kForget, task.job, task.task, task.attempt, 0});
      continue;
    }
    auto it = machine->attempts.find(key);
    const bool ours =
        it != machine->attempts.end() && it->second.number == task.attempt;
    if (!ours || it->second.stop) {
      // While it saves, the order to stop is not repeated: a second one with no
      // grace would end it.
      if (ours && task.state == TaskState::kSaving && it->second.job_active)
        continue;
      orders.push_back({CommandKind::kStop, task.job, task.task, task.attempt,
                        ours ? it->second.stop_grace_s : 0});
    }
  }
  if (!election_->MayDispatch() || !placement_.AcceptsTasks(*machine)) {
    // Guards against a launch by a leader that others may have replaced.
    RemovePlannedAttempts(machine);
    return orders;
  }
  for (auto& [key, attempt] : machine->attempts) {
    if (attempt.phase != AttemptPhase::kPlanned) continue;
    attempt.phase = AttemptPhase::kDispatched;
    attempt.dispatched_incarnation = heartbeat.incarnation;
    attempt.dispatched_sequence = heartbeat.sequence;
    attempt.dispatched_at = context_->now;
    if (context_->debug)
      context_->Debug(
          "starting task",
          {{"job", key.job}, {"task", key.task}, {"machine", machine->name}});
    orders.push_back(
        {CommandKind::kStart, key.job, key.task, attempt.number, 0});
  }
  return orders;
}

void Scheduler::Record(Machine* machine) {
  if (machine->lifecycle.recording || !machine->type) return;
  machine->lifecycle.recording = true;
  MachineRecord record{machine->name, machine->type_name, machine->zone,
                       machine->address, machine->spot};
  // Before anything is placed there, so that a later leader knows of it.
  writer_.Put(keys::Machine(machine->name),
              protocol::EncodeMachineRecord(record),
              {[this, name = machine->name] {
                 if (Machine* m = machines_.Find(name)) {
                   m->lifecycle.recorded = true;
                   autoscaler_.OnMachineRecorded(name);
                 }
               },
               nullptr, /*urgent=*/true});
}

// --- Time
// ------------------------------------------------------------------------------

void Scheduler::Tick() {
  if (!election_->leading()) return;
  if (!active_) {
    if (reload_at_ > 0 && context_->now >= reload_at_) {
      reload_at_ = 0;
      Load();
    }
    return;
  }
  // First, since it may leave the lead.
  if (context_->now >= next_silence_) {
    next_silence_ = context_->now + 0.5;
    monitor_.Watch();
    if (!election_->leading()) return;
  }
  writer_.Tick();
  autoscaler_.Tick(election_->MayDispatch(), election_->dispatch_deadline());
  if (context_->now >= next_write_) {
    next_write_ = context_->now + kFinishBatchS;
    WriteCompletions();
  }
  if (context_->now >= next_policy_) {
    next_policy_ = context_->now + 1;
    waiting_.Tick();
    replicas_.LeaveDepartingMachines();
    if (election_->MayDispatch()) placement_.PreemptForGuarantees();
  }
  replicas_.CountTime();
  rebalancer_.Tick(election_->MayDispatch());
  if (context_->now >= next_preemption_) {
    next_preemption_ = context_->now + kPreemptEveryS;
    if (election_->MayDispatch()) preemption_.PreemptForServices();
  }
  if (context_->now >= next_rank_) {
    next_rank_ = context_->now + kRankEveryS;
    jobs_.Rank(*settings_, context_->wall);
  }
  if (context_->debug && context_->now >= next_debug_) {
    next_debug_ = context_->now + kDebugEveryS;
    DescribeTeams();
  }
  if (context_->now >= next_place_) {
    next_place_ = context_->now + kPlaceEveryS;
    UpdateUnreconciled();
    if (election_->MayDispatch()) placement_.RunPass(election_->term());
  }
}

void Scheduler::UpdateUnreconciled() {
  placement_.set_unreconciled(unreconciled_.from_earlier_term(),
                              unreconciled_.cpus(), unreconciled_.gpus());
}

// --- Writing down
// -----------------------------------------------------------------------

void Scheduler::WriteCompletions() {
  while (!completed_jobs_.empty() && writer_.MayCommitJobEnd()) {
    Job* job = jobs_.Find(completed_jobs_.front());
    completed_jobs_.pop_front();
    if (job && !job->finishing) Finish(job);
  }
  completions_.Write();
}

// The end of a job: its live key goes and its final key comes, together.
// Guarded by the live key, so that a cancellation that came first wins.
void Scheduler::Finish(Job* job) {
  job->finishing = true;
  const std::string id = job->id();
  std::vector<Mutation> mutations = {
      {true, keys::Live(id), "", 0},
      {false, keys::Final(id), protocol::EncodeFinalState(FinalState::kDone),
       0}};
  writer_.CommitJobEnd(
      {{keys::Live(id), job->version}}, std::move(mutations),
      [this, id](const StateResult& result) {
        if (result.outcome == Outcome::kOk) {
          job_cache_->ApplyFinalState(id, FinalState::kDone);
          return;
        }
        if (Job* unfinished = jobs_.Find(id)) {
          unfinished->finishing = false;
          completed_jobs_.push_back(id);  // tried again
        }
        if (result.outcome != Outcome::kConflict) return;
        // Cancelled, or an earlier try was carried out: the final key tells.
        context_->Get(StateConnection::kLeader, keys::Final(id),
                      [this, id](const StateResult& got) {
                        if (got.outcome != Outcome::kOk || got.items.empty())
                          return;
                        if (const auto state =
                                protocol::ParseFinalState(got.items[0].value))
                          job_cache_->ApplyFinalState(id, *state);
                      });
      });
}

void Scheduler::DescribeTeams() {
  for (const Team& team : settings_->teams) {
    double jobs = 0, pending = 0, backlog_s = 0;
    for (const Job* job : jobs_.queue()) {
      if (job->spec().team != team.name) continue;
      ++jobs;
      pending += job->progress.pending.size() * job->spec().cpus;
      backlog_s = job->queue_position.team_backlog_s;
    }
    context_->Debug("team usage", {{"team", team.name},
                                   {"cpus_used", jobs_.UsageOf(team.name).cpus},
                                   {"cpus_max", team.cpus_max},
                                   {"cpus_pending", pending},
                                   {"jobs", jobs},
                                   {"backlog_s", backlog_s}});
  }
}

std::vector<JobCounts> Scheduler::Counts() {
  std::vector<JobCounts> counts;
  if (!active_) return counts;
  for (const auto& [id, job] : jobs_.all())
    counts.push_back(
        {id, job->progress.done.size(),
         static_cast<uint32_t>(job->spec().IsService()
                                   ? machines_.RunningReplicas(*job)
                                   : job->progress.machine_of_task.size())});
  return counts;
}

Scheduler::Statistics Scheduler::CollectStatistics() {
  Statistics f;
  f.jobs = jobs_.all().size();
  for (const auto& [id, job] : jobs_.all()) {
    f.pending += job->progress.pending.size();
    f.placed += job->progress.machine_of_task.size();
  }
  f.machines = machines_.all().size();
  for (const auto& [name, machine] : machines_.all())
    if (machine->role.baseline) ++f.base_machines;
  f.unreconciled = placement_.unreconciled();
  f.base_target_cpus = autoscaler_.baseline_target_cpus();
  f.predictor_error_s = waiting_.predictor().mean_error_s();
  f.predictor_matthews = waiting_.predictor().matthews();
  f.predictor_samples = waiting_.predictor().samples();
  f.speculative_kills = waiting_.killed();
  f.rented_to_end = waiting_.rented();
  f.replicas = replicas_.CollectStatistics();
  f.spread = rebalancer_.CollectStatistics();
  return f;
}

}  // namespace sorrelwood
