#include "core/controller/scheduler.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include "base/constants.h"
#include "core/coordination/keys.h"
#include "protocol/json.h"

namespace sorrelwood {

Scheduler::Scheduler(Context* context, Directory* directory,
                     Leadership* leadership, const ClusterSettings* settings,
                     const StateLimitTracker* limits,
                     const PolicySettings& policy, uint64_t seed)
    : context_(context),
      directory_(directory),
      leadership_(leadership),
      settings_(settings),
      policy_(policy),
      placement_(context, &jobs_, &machines_, settings),
      writer_(context, leadership, limits),
      progress_(&jobs_, &writer_, limits),
      fleet_(context, &jobs_, &machines_, &placement_, &writer_, limits,
             settings, policy),
      replicas_(context, &jobs_, &machines_, &placement_),
      preemption_(context, &jobs_, &machines_, &placement_, settings),
      waiting_(context, &jobs_, &machines_, policy, seed),
      spread_placement_(&jobs_, &machines_, settings, policy.spread),
      rebalancer_(context, &jobs_, &machines_, &placement_, settings,
                  policy.spread),
      monitor_(context, &machines_, leadership, &fleet_, settings,
               {[this](Machine* machine, const WorkerReport& report) {
                  ApplyReport(machine, report, /*direct=*/true);
                },
                [this](Machine* machine) { DropUnsent(machine); },
                [this](Machine* machine) { DropEverything(machine); }}) {
  fleet_.on_gone = [this](Machine* machine) {
    DropEverything(machine);
    rebalancer_.MachineGone(machine->name);
  };
  if (policy.spread.placement) placement_.set_spread(&spread_placement_);
}

void Scheduler::LearnCatalog(const std::vector<MachineType>& types) {
  fleet_.LearnCatalog(types);
  unaccounted_.Recount(machines_.all());
}

// --- Taking over
// -----------------------------------------------------------------

void Scheduler::Elected() {
  Deposed();
  Load();
}

void Scheduler::Deposed() {
  active_ = false;
  reload_at_ = 0;
  ++generation_;
  monitor_.Begin();
  writer_.Clear();
  fleet_.Clear();
  jobs_.Clear();
  machines_.Clear();
  progress_.Clear();
  complete_.clear();
  unaccounted_.Clear();
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
      progress_.Load(progress);
      step(keys::kLive, [this, step](const StateResult& live) {
        directory_->LearnListing(live);
        step(keys::kRent,
             [this](const StateResult& rents) { Activate(rents); });
      });
    });
  });
}

void Scheduler::LoadFailed() {
  ++generation_;
  machines_.Clear();
  progress_.Clear();
  reload_at_ = context_->now + kReloadPauseS;
}

void Scheduler::LoadMachines(const StateResult& result) {
  for (const KeyValue& item : result.items) {
    writer_.LearnVersion(item.key, item.version);
    MachineRecord record;
    if (!wire::ParseMachineRecord(item.value, &record)) continue;
    Machine* machine = machines_.Add(record.name);
    machine->address = record.address;
    machine->type_name = record.type;
    machine->type = fleet_.FindType(record.type);
    machine->zone = record.zone;
    machine->spot = record.spot;
    machine->recorded = true;
    machine->inherited = true;
    machine->ever_reported = true;
    machine->vouched = true;
    machine->rented_at = machine->last_heard = machine->last_report =
        machine->last_answered = machine->reached_at = context_->now;
  }
}

void Scheduler::Activate(const StateResult& rents) {
  std::vector<RentRecord> records;
  for (const KeyValue& item : rents.items) {
    writer_.LearnVersion(item.key, item.version);
    RentRecord record;
    if (wire::ParseRentRecord(item.value, &record)) records.push_back(record);
  }
  active_ = true;
  fleet_.Load(leadership_->term(), records);
  for (const auto& [id, known] : directory_->live()) JobAppeared(id);
  progress_.EndLoading();
  unaccounted_.Recount(machines_.all());
  context_->Info("took over " + std::to_string(jobs_.all().size()) +
                 " jobs and " + std::to_string(machines_.all().size()) +
                 " machines");
}

void Scheduler::JobAppeared(const std::string& id) {
  if (!active_) return;
  const KnownJob* known = directory_->FindLive(id);
  if (!known || jobs_.Find(id)) return;
  const bool inherited = known->version < leadership_->guard().version;
  Job* job = jobs_.Add(known->job, known->version, inherited, context_->now);
  if (context_->debug)
    context_->Debug("new job " + id + " of " + job->spec().job_class + ", " +
                    std::to_string(job->spec().tasks) + " tasks, image " +
                    job->spec().image + ", team " + job->spec().team);
  next_rank_ = 0;  // with the next tick: a takeover brings hundreds at once
  progress_.Restore(job);
  if (job->done.size() == job->spec().tasks) complete_.push_back(id);
}

void Scheduler::JobEnded(const std::string& id, FinalState) {
  if (!active_) return;
  Job* job = jobs_.Find(id);
  if (!job) return;
  // Whatever of it may still be on a machine must go, and counts until then.
  const auto placed = job->placed;
  for (const auto& [task, name] : placed) {
    Machine* machine = machines_.Find(name);
    if (!machine) continue;
    auto it = machine->tasks.find({id, task});
    if (it == machine->tasks.end()) continue;
    it->second.job_live = false;
    it->second.stop = true;
    it->second.stop_grace_s = 0;
    if (it->second.phase == PlacedPhase::kAssigned) DropTask(machine, it);
  }
  rebalancer_.JobEnded(id);
  progress_.Remove(id);
  jobs_.Remove(id);
}

// --- Hearing machines
// ----------------------------------------------------------------

void Scheduler::Report(uint64_t request, const WorkerReport& report) {
  AnswerWorker answer;
  answer.request = request;
  answer.token = leadership_->term();
  if (!active_) {
    // The records are not read yet: kept, given nothing.
    answer.commands = StopEnded(report);
    context_->out.push_back(std::move(answer));
    return;
  }
  Machine* machine = machines_.Find(report.machine);
  if (!machine && !machines_.Gone(report.machine)) {
    // Not listed yet, or a late copy of a report of one that is gone: until it
    // shows our token it only waits, and not for long (MachineMonitor).
    machine = machines_.Add(report.machine);
    machine->type_name = report.type;
    machine->type = fleet_.FindType(report.type);
    machine->zone = report.zone;
    machine->spot = report.spot;
  }
  // A report that is no newer than one that was answered is a copy, and so is
  // one of a machine that is gone. Guards against a copy that renews what we
  // believe of a lease.
  const bool copy =
      !machine ||
      std::make_pair(report.session, report.sequence) <=
          std::make_pair(machine->answered_session, machine->answered_sequence);
  if (copy) {
    answer.status = 503;
    context_->out.push_back(std::move(answer));
    return;
  }
  // One report is under way at a time, and without our answer the next goes to
  // another node: two in a row mean that the answer arrived. (Late copies may
  // come in a row too, but none shows our token.)
  const bool in_a_row = report.token == leadership_->term() &&
                        report.session == machine->answered_session &&
                        report.sequence == machine->answered_sequence + 1;
  const bool first = machine->answered_sequence == 0;  // of this term
  if (in_a_row || first) machine->reached_at = context_->now;
  // After a silence the count starts again: it was cut off, not deaf.
  const bool was_silent =
      context_->now - machine->last_report > monitor_.LongSilence();
  if (in_a_row || first || was_silent) machine->unproved_since = context_->now;
  const bool newer = std::make_pair(report.session, report.sequence) >
                     std::make_pair(machine->session, machine->sequence);
  if (newer) ApplyReport(machine, report, /*direct=*/false);
  if (machine->deaf) {
    // Not answered any more, so that its lease is known to run out.
    answer.status = 503;
    context_->out.push_back(std::move(answer));
    return;
  }
  machine->answered_session = report.session;
  machine->answered_sequence = report.sequence;
  machine->last_answered = context_->now;
  if (newer && report.token == leadership_->term()) {
    CountUnaccounted();
    placement_.Fill(machine, leadership_->term());
    answer.commands = Orders(machine, report);
  } else {
    answer.commands = StopEnded(report);
  }
  context_->out.push_back(std::move(answer));
}

// Guards against answers that keep the tasks of a cancelled job alive without
// an order to stop them: of a leader that has not read its records yet, perhaps
// for a whole outage, and of leaders that change so fast that no report shows
// the token of the one that hears it.
std::vector<Command> Scheduler::StopEnded(const WorkerReport& report) const {
  std::vector<Command> stops;
  for (const TaskReport& task : report.tasks)
    if (task.state != TaskState::kExited && !directory_->FindLive(task.job))
      stops.push_back(
          {CommandKind::kStop, task.job, task.task, task.attempt, 0});
  return stops;
}

void Scheduler::ApplyReport(Machine* machine, const WorkerReport& report,
                            bool direct) {
  if (!machine->ever_reported) {
    machine->ever_reported = true;
    machine->came_up_at = context_->now;
    machine->rented_at = std::min(machine->rented_at, context_->now);
  }
  machine->last_heard = context_->now;
  if (!direct) machine->last_report = context_->now;
  if (!report.address.empty()) machine->address = report.address;
  if (report.session != machine->session) NewSession(machine, report.session);
  machine->sequence = report.sequence;
  if (report.token > leadership_->term()) {
    leadership_->LearnTerm(report.token);
    return;
  }
  // One that we know otherwise than from this report is written down while it
  // is being shown our token.
  if (machine->vouched && !machine->recorded) Record(machine);
  if (report.token < leadership_->term()) {
    // It may be a late copy: what it holds is not believed before it has shown
    // our token, which no copy of an earlier term's report can. A result is one
    // for ever.
    for (const TaskReport& task : report.tasks)
      if (task.state == TaskState::kExited && task.reason == ExitReason::kDone)
        ApplyTaskReport(machine, task);
    return;
  }
  machine->vouched = true;
  if (!machine->recorded) Record(machine);
  if (report.notice_s && machine->notice_until == 0) {
    machine->notice_until = context_->now + std::max(0.0, *report.notice_s);
    NoticeGiven(machine);
  }
  std::set<TaskKey> present;
  unaccounted_.ForgetUnknownTasks(*machine);
  for (const TaskReport& task : report.tasks) {
    present.insert({task.job, task.task});
    ApplyTaskReport(machine, task);
  }
  std::vector<TaskKey> missing;
  for (const auto& [key, placed] : machine->tasks) {
    if (present.count(key)) continue;
    // Proof of absence: the report was sent after the one that the launch
    // answered, so that answer was dropped or the task has gone. An answer to a
    // direct command proves nothing about a launch still under way.
    const bool answer_dropped =
        placed.phase == PlacedPhase::kSent &&
        (placed.sent_session != report.session ||
         report.sequence > placed.sent_sequence) &&
        (!direct || context_->now - placed.sent_at >
                        kReportAnswerS + kDirectTimeoutS + kReachMarginS);
    const bool ended = placed.phase == PlacedPhase::kPresent && !direct;
    if (answer_dropped || ended) missing.push_back(key);
  }
  for (const TaskKey& key : missing) {
    auto it = machine->tasks.find(key);
    if (it != machine->tasks.end()) DropTask(machine, it);
  }
  for (auto it = machine->finished.begin(); it != machine->finished.end();)
    it = present.count(it->first) ? std::next(it) : machine->finished.erase(it);
  // Only a machine that shows our token takes no orders from an earlier leader
  // any more: until then its report may miss a launch of his.
  if (!machine->heard) {
    machine->heard = true;
    machine->inherited = false;
    // Until it showed our token an earlier leader may have answered it: its
    // lease counts from now. Guards against taking its tasks for gone while
    // they run, where it was shown the token directly and then fell silent.
    machine->last_answered = context_->now;
    machine->unproved_since = machine->reached_at = context_->now;
    unaccounted_.Update(*machine);
  }
}

// A higher session: the worker killed and forgot all that it had.
void Scheduler::NewSession(Machine* machine, uint64_t session) {
  DropAll(machine);
  machine->finished.clear();
  machine->images.clear();
  machine->session = session;
  machine->sequence = 0;
}

void Scheduler::ApplyTaskReport(Machine* machine, const TaskReport& task) {
  const TaskKey key{task.job, task.task};
  auto it = machine->tasks.find(key);
  Placed* placed =
      it == machine->tasks.end() || it->second.attempt != task.attempt
          ? nullptr
          : &it->second;
  if (task.state == TaskState::kExited) {
    ApplyTaskExit(machine, task, placed);
    return;
  }
  if (!placed) {
    Adopt(machine, task);
    return;
  }
  placed->phase = PlacedPhase::kPresent;
  if (task.state == TaskState::kRunning && placed->running_since == 0) {
    placed->running_since = context_->now;
    machine->EndFetch(placed->record->spec.image);
    if (context_->debug)
      context_->Debug("running " + task.job + "/" + std::to_string(task.task) +
                      " on " + machine->name);
    if (Job* job = jobs_.Find(task.job)) waiting_.LearnStart(job, *machine);
  }
  placed->state = task.state;
  if (!placed->record->spec.IsService()) return;
  Job* job = jobs_.Find(task.job);
  if (!job || !replicas_.BecameStable(job, task.task, placed)) return;
  Succeeded(machine);
  Succeeded(job);
}

// A task that an earlier leader placed, or that nobody should have.
void Scheduler::Adopt(Machine* machine, const TaskReport& task) {
  Job* job = jobs_.Find(task.job);
  const TaskKey key{task.job, task.task};
  if (!job || task.task >= job->spec().tasks) {
    // Of a job that has ended; what it takes of a limit is not known.
    unaccounted_.AddUnknownTask(*machine);
    return;
  }
  if (machine->tasks.count(key)) return;  // with another attempt: judged by it
  auto elsewhere = job->placed.find(task.task);
  if (elsewhere != job->placed.end()) {
    Machine* other = machines_.Find(elsewhere->second);
    auto it = other ? other->tasks.find(key) : decltype(machine->tasks.end())();
    // Only chosen, not sent: the one that is there stays.
    if (other && it != other->tasks.end() &&
        it->second.phase == PlacedPhase::kAssigned)
      DropTask(other, it);
    else
      return;  // stopped by Orders: it is not ours
  }
  Placed placed;
  placed.attempt = task.attempt;
  placed.cpus = job->spec().cpus;
  placed.gpus = job->spec().gpus;
  placed.memory_gb = job->spec().memory_gb;
  placed.record = job->record;
  placed.phase = PlacedPhase::kPresent;
  placed.state = task.state;
  placed.running_since = task.state == TaskState::kRunning ? context_->now : 0;
  placed.speculative = !machine->base;
  placed.stop = job->done.Contains(task.task);
  jobs_.Place(job, task.task, machine->name, machine->zone);
  machine->Hold(key, std::move(placed));
  machine->UseImage(job->spec().image);
}

void Scheduler::ApplyTaskExit(Machine* machine, const TaskReport& task,
                              Placed* placed) {
  const TaskKey key{task.job, task.task};
  Job* job = jobs_.Find(task.job);
  const bool waiting = placed && placed->requeue_waiting;
  const bool rented = placed && placed->requeue_rented;
  const bool told_to_stop = placed && placed->stop;
  const double ran = placed && placed->running_since > 0
                         ? context_->now - placed->running_since
                         : 0;
  if (task.reason == ExitReason::kDone && job && !job->spec().IsService())
    rebalancer_.TaskDone(task.job, task.task);
  if (placed) DropTask(machine, machine->tasks.find(key));
  if (placed && !told_to_stop && job && job->spec().IsService() &&
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
      Succeeded(machine);
      machine->finished[key] = task.attempt;
      Completed(job, task.task);
      return;
    case ExitReason::kError:
      // A replica that has run well tells nothing of its machine.
      if (placed && job && !(job->spec().IsService() && ran >= kReplicaStableS))
        Failed(machine, job, task.task);
      return;
    case ExitReason::kNoRoom:
    case ExitReason::kBusy:
      if (placed) machine->refused_until = context_->now + kRefusedPauseS;
      return;
    case ExitReason::kUnknown:
      if (placed && job) job->retry_at = context_->now + kErrorPauseS;
      return;
    case ExitReason::kStopped:
    case ExitReason::kNone:
      if (!job || !job->pending.Contains(task.task)) return;
      if (waiting) job->waiting[task.task] = context_->now;
      if (rented && !job->rented.Contains(task.task))
        job->rented.Add(task.task);
      return;
  }
}

void Scheduler::DropTask(Machine* machine,
                         std::map<TaskKey, Placed>::iterator it) {
  const TaskKey key = it->first;
  const Placed placed = machine->Drop(it);
  Job* job = jobs_.Find(key.first);
  if (!job || !placed.job_live) {
    jobs_.AddStray(placed.record->spec.team, -placed.cpus, -placed.gpus);
    return;
  }
  jobs_.Unplace(job, key.second, machine->zone);
  rebalancer_.Released(job, key.second, leadership_->term());
}

void Scheduler::DropUnsent(Machine* machine) {
  for (auto it = machine->tasks.begin(); it != machine->tasks.end();) {
    auto next = std::next(it);
    if (it->second.phase == PlacedPhase::kAssigned) DropTask(machine, it);
    it = next;
  }
}

void Scheduler::DropAll(Machine* machine) {
  while (!machine->tasks.empty()) DropTask(machine, machine->tasks.begin());
  unaccounted_.ForgetUnknownTasks(*machine);
  unaccounted_.Update(*machine);
}

// The machine is gone, or no leader can have kept its tasks alive so long. A
// new session alone is less: an earlier leader may have placed tasks in it.
void Scheduler::DropEverything(Machine* machine) {
  machine->inherited = false;
  machine->finished.clear();
  DropAll(machine);
}

// A task has run as it should there: what failed before tells nothing of it.
void Scheduler::Succeeded(Machine* machine) {
  machine->errors.clear();
  if (machine->set_aside) AssessFault(machine);
}

// The job's failures elsewhere tell of those machines.
void Scheduler::Succeeded(Job* job) {
  const std::set<std::string> failed_on =
      std::exchange(job->error_machines, {});
  job->error_rounds = 0;
  job->retry_at = 0;
  for (const std::string& name : failed_on)
    if (Machine* other = machines_.Find(name)) AssessFault(other);
}

void Scheduler::Completed(Job* job, uint32_t task) {
  if (job->done.Contains(task)) return;
  jobs_.MarkDone(job, task);
  Succeeded(job);
  if (job->done.size() == job->spec().tasks)
    complete_.push_back(job->id());
  else
    progress_.MarkUnwritten(job->id());
  // Its result is kept: another attempt of it, if there is one, is of no use.
  auto elsewhere = job->placed.find(task);
  if (elsewhere == job->placed.end()) return;
  Machine* machine = machines_.Find(elsewhere->second);
  if (!machine) return;
  auto it = machine->tasks.find({job->id(), task});
  if (it != machine->tasks.end()) it->second.stop = true;
}

// Who is at fault, the job or the machine? A job that has succeeded somewhere
// is not; one that has failed on several machines and succeeded nowhere is.
// Until that is known its failure counts once against the machine.
void Scheduler::Failed(Machine* machine, Job* job, uint32_t task) {
  const bool proven = job->succeeded();
  if (context_->debug)
    context_->Debug("failed " + job->id() + "/" + std::to_string(task) +
                    " on " + machine->name);
  job->last_error_at = context_->now;
  const bool news = job->error_machines.insert(machine->name).second;
  if (job->failing() && context_->now >= job->retry_at) {
    // Tried again at a falling rate, however many tasks of a round fail.
    const double pause =
        kErrorPauseS * std::pow(2.0, std::min(++job->error_rounds, 10));
    job->retry_at = context_->now + std::min(pause, kErrorPauseMaxS);
  }
  if (news && job->broken() && job->error_machines.size() == kBadJobMachines) {
    context_->Info(job->id() + " fails on every machine");
    // Those that were set aside for it are taken back.
    for (const std::string& name : job->error_machines)
      if (Machine* other = machines_.Find(name)) AssessFault(other);
  }
  if (proven && ++job->task_errors[task] >= kBadTaskErrors) return;
  if (job->ends_by_itself) return;  // it tells nothing of machines
  ++machine->errors[job->id()];
  AssessFault(machine);
}

// Guards against a machine that swallows the queue, and against jobs that fail
// everywhere taking good machines with them.
void Scheduler::AssessFault(Machine* machine) {
  int proven = 0;
  size_t unproven = 0;
  for (const auto& [id, errors] : machine->errors) {
    const Job* job = jobs_.Find(id);
    if (!job || job->broken()) continue;  // it was the job, or can't be told
    if (!job->succeeded())
      ++unproven;
    else
      proven += errors;
  }
  const bool sick = proven >= kSickErrors || unproven >= kSickJobs;
  if (proven >= kSickErrors) machine->doubted_until = 0;
  if (sick == machine->set_aside) return;
  machine->set_aside = sick;
  context_->Info(sick ? "setting " + machine->name + " aside: its tasks fail"
                      : "taking " + machine->name + " back: the jobs failed");
  if (sick && proven < kSickErrors)
    machine->doubted_until = context_->now + kErrorAvoidS;
  if (proven < kSickErrors) return;
  for (auto& [key, placed] : machine->tasks) {
    const Job* other = jobs_.Find(key.first);
    placed.stop = true;
    placed.stop_grace_s = other ? other->spec().save_s : 0;
  }
}

// What can save does so and moves; what would end in time runs on; the rest
// loses its work either way and moves at once.
void Scheduler::NoticeGiven(Machine* machine) {
  const double left = machine->notice_until - context_->now;
  for (auto& [key, placed] : machine->tasks) {
    const Job* job = jobs_.Find(key.first);
    // A replica goes once there is a place for it: ReplicaKeeper.
    if (!job || job->spec().IsService()) continue;
    const double ran =
        placed.running_since > 0 ? context_->now - placed.running_since : 0;
    const bool ends = placed.running_since > 0 &&
                      jobs_.Estimate(job->spec()) - ran < left * 0.5;
    if (ends) continue;
    placed.stop = true;
    placed.stop_grace_s =
        job->spec().checkpoint_s > 0 && job->spec().save_s < left
            ? job->spec().save_s
            : 0;
  }
}

std::vector<Command> Scheduler::Orders(Machine* machine,
                                       const WorkerReport& report) {
  std::vector<Command> orders;
  for (const TaskReport& task : report.tasks) {
    const TaskKey key{task.job, task.task};
    Job* job = jobs_.Find(task.job);
    if (task.state == TaskState::kExited) {
      // A completion is cleared only once it is written down, or the job has
      // ended: guards against a result that a crash would make us forget.
      // A replica is never complete.
      const bool keep = task.reason == ExitReason::kDone && job &&
                        !job->spec().IsService() &&
                        !job->committed.Contains(task.task);
      if (!keep)
        orders.push_back(
            {CommandKind::kForget, task.job, task.task, task.attempt, 0});
      continue;
    }
    auto it = machine->tasks.find(key);
    const bool ours =
        it != machine->tasks.end() && it->second.attempt == task.attempt;
    if (!ours || it->second.stop) {
      // While it saves, the order to stop is not repeated: a second one with no
      // grace would end it.
      if (ours && task.state == TaskState::kSaving && it->second.job_live)
        continue;
      orders.push_back({CommandKind::kStop, task.job, task.task, task.attempt,
                        ours ? it->second.stop_grace_s : 0});
    }
  }
  if (!leadership_->MayLaunch() || !placement_.Usable(*machine)) {
    // Guards against a launch by a leader that others may have replaced.
    DropUnsent(machine);
    return orders;
  }
  for (auto& [key, placed] : machine->tasks) {
    if (placed.phase != PlacedPhase::kAssigned) continue;
    placed.phase = PlacedPhase::kSent;
    placed.sent_session = report.session;
    placed.sent_sequence = report.sequence;
    placed.sent_at = context_->now;
    if (context_->debug)
      context_->Debug("start " + key.first + "/" + std::to_string(key.second) +
                      " on " + machine->name);
    orders.push_back(
        {CommandKind::kStart, key.first, key.second, placed.attempt, 0});
  }
  return orders;
}

void Scheduler::Record(Machine* machine) {
  if (machine->recording || !machine->type) return;
  machine->recording = true;
  MachineRecord record{machine->name, machine->type_name, machine->zone,
                       machine->address, machine->spot};
  // Before anything is placed there, so that a later leader knows of it.
  writer_.Put(keys::Machine(machine->name), wire::EncodeMachineRecord(record),
              {[this, name = machine->name] {
                 if (Machine* m = machines_.Find(name)) {
                   m->recorded = true;
                   fleet_.Settled(name);
                 }
               },
               nullptr, /*urgent=*/true});
}

// --- Time
// ------------------------------------------------------------------------------

void Scheduler::Tick() {
  if (!leadership_->leading()) return;
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
    if (!leadership_->leading()) return;
  }
  writer_.Tick();
  fleet_.Tick(leadership_->MayLaunch(), leadership_->launch_until());
  if (context_->now >= next_write_) {
    next_write_ = context_->now + kFinishBatchS;
    WriteFinished();
  }
  if (context_->now >= next_policy_) {
    next_policy_ = context_->now + 1;
    waiting_.Tick();
    replicas_.LeaveDepartingMachines();
    if (leadership_->MayLaunch()) placement_.MakeRoom();
  }
  replicas_.CountTime();
  rebalancer_.Tick(leadership_->MayLaunch());
  if (context_->now >= next_preemption_) {
    next_preemption_ = context_->now + kPreemptEveryS;
    if (leadership_->MayLaunch()) preemption_.MakeRoomForServices();
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
    CountUnaccounted();
    if (leadership_->MayLaunch()) placement_.Pass(leadership_->term());
  }
}

void Scheduler::CountUnaccounted() {
  placement_.set_unaccounted(unaccounted_.inherited(), unaccounted_.cpus(),
                             unaccounted_.gpus());
}

// --- Writing down
// -----------------------------------------------------------------------

void Scheduler::WriteFinished() {
  while (!complete_.empty() && writer_.AllowsEnd()) {
    Job* job = jobs_.Find(complete_.front());
    complete_.pop_front();
    if (job && !job->finishing) Finish(job);
  }
  progress_.Write();
}

// The end of a job: its live key goes and its final key comes, together.
// Guarded by the live key, so that a cancellation that came first wins.
void Scheduler::Finish(Job* job) {
  job->finishing = true;
  const std::string id = job->id();
  std::vector<StateOp> ops = {
      {true, keys::Live(id), "", 0},
      {false, keys::Final(id), wire::EncodeFinal(FinalState::kDone), 0}};
  writer_.CommitEnd(
      {{keys::Live(id), job->version}}, std::move(ops),
      [this, id](const StateResult& result) {
        if (result.outcome == Outcome::kOk) {
          directory_->LearnFinal(id, FinalState::kDone);
          return;
        }
        if (Job* unfinished = jobs_.Find(id)) {
          unfinished->finishing = false;
          complete_.push_back(id);  // tried again
        }
        if (result.outcome != Outcome::kConflict) return;
        // Cancelled, or an earlier try was carried out: the final key tells.
        context_->Get(StateLane::kLeader, keys::Final(id),
                      [this, id](const StateResult& got) {
                        FinalState state;
                        if (got.outcome == Outcome::kOk && !got.items.empty() &&
                            wire::ParseFinal(got.items[0].value, &state))
                          directory_->LearnFinal(id, state);
                      });
      });
}

void Scheduler::DescribeTeams() {
  for (const Team& team : settings_->teams) {
    double jobs = 0, pending = 0, backlog_s = 0;
    for (const Job* job : jobs_.queue()) {
      if (job->spec().team != team.name) continue;
      ++jobs;
      pending += job->pending.size() * job->spec().cpus;
      backlog_s = job->team_backlog_s;
    }
    char line[200];
    snprintf(line, sizeof(line),
             "team %s uses %.0f of %.0f CPUs, %.0f more are pending in %.0f "
             "jobs, %.0f s of work at its limit",
             team.name.c_str(), jobs_.use(team.name).cpus, team.cpus_max,
             pending, jobs, backlog_s);
    context_->Debug(line);
  }
}

std::vector<JobCounts> Scheduler::Counts() {
  std::vector<JobCounts> counts;
  if (!active_) return counts;
  for (const auto& [id, job] : jobs_.all())
    counts.push_back(
        {id, job->done.size(),
         static_cast<uint32_t>(job->spec().IsService()
                                   ? machines_.RunningReplicas(*job)
                                   : job->placed.size())});
  return counts;
}

Scheduler::Figures Scheduler::Measure() {
  Figures f;
  f.jobs = jobs_.all().size();
  for (const auto& [id, job] : jobs_.all()) {
    f.pending += job->pending.size();
    f.placed += job->placed.size();
  }
  f.machines = machines_.all().size();
  for (const auto& [name, machine] : machines_.all())
    if (machine->base) ++f.base_machines;
  f.unaccounted = placement_.unaccounted();
  f.base_target_cpus = fleet_.base_target_cpus();
  f.predictor_error_s = waiting_.predictor().mean_error_s();
  f.predictor_matthews = waiting_.predictor().matthews();
  f.predictor_samples = waiting_.predictor().samples();
  f.speculative_kills = waiting_.killed();
  f.rented_to_end = waiting_.rented();
  f.replicas = replicas_.Measure();
  f.spread = rebalancer_.Measure();
  return f;
}

}  // namespace sorrelwood
