#include "core/scheduling/placement.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>

#include "base/constants.h"

namespace sorrelwood {

bool Placement::MayStartTask(const Job& job) const {
  if (job.progress.pending.empty() || job.finishing ||
      context_->now < job.failures.retry_at)
    return false;
  if (job.failing() && !job.progress.machine_of_task.empty()) return false;
  // A task of a job that an earlier leader knew may be on a machine that has
  // not been heard: guards against running it twice.
  return !(job.from_earlier_term && unreconciled_machines_ > 0);
}

bool Placement::WithinQuota(const Job& job) const {
  constexpr double kRounding = 1e-6;
  for (const Team& team : settings_->teams) {
    if (team.name != job.spec().team) continue;
    TeamUsage use = jobs_->UsageOf(team.name);
    if (!job.spec().IsService())
      if (auto it = service_claims_.find(team.name);
          it != service_claims_.end())
        use.cpus += std::max(0.0, it->second);
    return use.cpus + unreconciled_cpus_ + job.spec().cpus <=
               team.cpus_max + kRounding &&
           use.gpus + unreconciled_gpus_ + job.spec().gpus <=
               team.gpus_max + kRounding;
  }
  return false;
}

bool Placement::WithinGuarantee(const Job& job) const {
  for (const Team& team : settings_->teams) {
    if (team.name != job.spec().team) continue;
    const TeamUsage use = jobs_->UsageOf(team.name);
    return use.cpus + job.spec().cpus <= team.cpus &&
           use.gpus + job.spec().gpus <= team.gpus;
  }
  return false;
}

// The first task of a job that has waited too long to begin goes with the
// guaranteed work, so that no stream of it starves the job; and so do replicas,
// since the time without them is what counts.
bool Placement::HasPrecedence(const Job& job) const {
  return job.spec().IsService() ||
         (job.queue_position.starving &&
          job.progress.machine_of_task.empty()) ||
         WithinGuarantee(job);
}

bool Placement::IsEligible(const Job& job, const Machine& machine) const {
  const JobSpec& spec = job.spec();
  // It failed there: another machine tells which of the two is at fault.
  if (!job.failures.machines.empty() &&
      context_->now < job.failures.last_error_at + kSuspectMachineAvoidS &&
      job.failures.machines.count(machine.name))
    return false;
  if (!machine.type ||
      !AllowsLocation(spec, *machine.type, machine.zone, machine.spot))
    return false;
  if (spec.one_zone && !job.progress.attempts_in_zone.empty() &&
      (job.progress.attempts_in_zone.size() > 1 ||
       job.progress.attempts_in_zone.begin()->first != machine.zone))
    return false;
  return SpreadAllows(job, machine.zone, 0);
}

bool Placement::SpreadAllows(const Job& job, const std::string& zone,
                             uint32_t more) {
  if (!job.spec().spread) return true;
  const auto it = job.progress.attempts_in_zone.find(zone);
  const uint32_t there =
      it == job.progress.attempts_in_zone.end() ? 0 : it->second;
  return there + more < (job.spec().tasks + 1) / 2;
}

bool Placement::IsEligibleAfterLeaving(const Job& job, const Machine& machine,
                                       const Machine& from) const {
  if (IsEligible(job, machine)) return true;
  // Only the task that leaves may be in the way: its zone is freed.
  return machine.type && machine.zone == from.zone &&
         AllowsLocation(job.spec(), *machine.type, machine.zone, machine.spot);
}

bool Placement::AcceptsTasks(const Machine& machine) const {
  return machine.lifecycle.recorded && machine.lifecycle.token_acknowledged &&
         !machine.health.quarantined && !machine.lifecycle.terminating &&
         machine.lifecycle.preemption_deadline == 0 &&
         context_->now >= machine.health.refused_until && IsReachable(machine);
}

bool Placement::IsReachable(const Machine& machine) const {
  const double silence = kSilentHeartbeats * settings_->heartbeat_interval_s;
  return !machine.contact.unreachable &&
         context_->now - machine.contact.last_heartbeat_at < silence &&
         context_->now - machine.contact.last_delivery_proof_at < silence;
}

std::optional<uint32_t> Placement::NextTask(const Job& job, bool owned) const {
  if (job.failing() && !job.progress.machine_of_task.empty())
    return std::nullopt;
  if (owned) {
    for (const auto& [task, since] : job.speculation.waiting_since)
      if (job.progress.pending.Contains(task)) return task;
    return std::nullopt;
  }
  for (const auto& [first, last] : job.progress.pending.ranges())
    for (uint32_t task = first; task < last; ++task)
      if (!job.speculation.waiting_since.count(task) &&
          !job.replicas.InRestartBackoff(task, context_->now))
        return task;
  return std::nullopt;
}

void Placement::Assign(Job* job, uint32_t task, Machine* machine,
                       uint64_t term) {
  const JobSpec& spec = job->spec();
  TaskAttempt attempt;
  // Unique for ever: the term in the high half, a counter below.
  attempt.number = (term << 32) | ++attempts_;
  attempt.cpus = spec.cpus;
  attempt.gpus = spec.gpus;
  attempt.memory_gb = spec.memory_gb;
  attempt.record = job->record;
  attempt.speculative =
      !machine->role.baseline && !job->speculation.run_on_rented.Contains(task);
  if (const auto moved = job->speculation.ran_before_move_s.find(task);
      moved != job->speculation.ran_before_move_s.end()) {
    attempt.ran_before_s = moved->second;
    job->speculation.ran_before_move_s.erase(moved);
  }
  job->speculation.waiting_since.erase(task);
  if (spec.IsService()) service_claims_[spec.team] -= spec.cpus;
  jobs_->Place(job, task, machine->name, machine->zone);
  machine->AddAttempt({job->id(), task}, std::move(attempt));
  if (!machine->HasImage(spec.image)) machine->fetching.push_back(spec.image);
  machine->TouchImage(spec.image);
}

double Placement::Slots(const Machine& machine, const ClassProfile& usual,
                        double less_cpus, double less_memory_gb) {
  if (!machine.type || machine.role.excess ||
      !AllowsLocation(usual.spec, *machine.type, machine.zone, machine.spot))
    return 0;
  const double cpus = machine.cpus_free() - less_cpus;
  const double memory_gb = machine.memory_free() - less_memory_gb;
  double slots = cpus / std::max(usual.spec.cpus, kLeastTaskCpus);
  if (usual.spec.memory_gb > 0)
    slots = std::min(slots, memory_gb / usual.spec.memory_gb);
  return std::max(0.0, std::floor(slots + 1e-6));
}

bool Placement::AllowsLocation(const JobSpec& spec, const MachineType& type,
                               const std::string& zone, bool spot) {
  if (spot && !spec.spot) return false;
  if (!spec.zone.empty() && spec.zone != zone) return false;
  return spec.types.empty() || std::find(spec.types.begin(), spec.types.end(),
                                         type.name) != spec.types.end();
}

double Placement::HeadroomSlots(const Machine& machine,
                                const ClassProfile& usual) {
  double cpus = 0, memory_gb = 0;
  for (const auto& [key, attempt] : machine.attempts) {
    const JobSpec& spec = attempt.record->spec;
    if (spec.IsService() || spec.priority >= usual.spec.priority) continue;
    cpus += attempt.cpus;
    memory_gb += attempt.memory_gb;
  }
  return Slots(machine, usual, -cpus, -memory_gb);
}

double Placement::SlotsOnType(const MachineType& type,
                              const ClassProfile& usual) {
  double slots = type.cpus / std::max(usual.spec.cpus, kLeastTaskCpus);
  if (usual.spec.memory_gb > 0)
    slots = std::min(slots, type.memory_gb / usual.spec.memory_gb);
  return std::floor(slots + 1e-6);
}

double Placement::Reserve::Covered() const {
  const double of_a_zone = usual.spec.spread ? std::ceil(slots / 2) : slots;
  double covered = 0;
  for (const auto& [zone, count] : free) covered += std::min(count, of_a_zone);
  return covered;
}

double Placement::ShortestBootS() const {
  double shortest = kNoLimit;
  for (const auto& [name, machine] : machines_->all())
    if (machine->type) shortest = std::min(shortest, machine->type->boot_s);
  return shortest == kNoLimit ? 0 : shortest;
}

double Placement::SlotsUnderLimit(const JobSpec& spec) const {
  for (const Team& team : settings_->teams) {
    if (team.name != spec.team) continue;
    const double left = team.cpus_max - jobs_->UsageOf(team.name).cpus;
    return std::max(0.0,
                    std::floor(left / std::max(spec.cpus, kLeastTaskCpus)));
  }
  return 0;
}

// What arrives while a machine boots, and some jobs more. While few have come
// the time since the first tells the rate. Guards against room that is paid for
// without end after the last service of a class has come, or that its team
// could never use.
double Placement::StandbySlots(const ClassProfile& usual) const {
  const std::deque<double>& arrivals = usual.arrivals;
  if (arrivals.empty()) return 0;
  const auto [first, last] =
      std::minmax_element(arrivals.begin(), arrivals.end());
  if (context_->wall - *last > kHeadroomMemoryS) return 0;
  const auto recent = std::count_if(
      arrivals.begin(), arrivals.end(),
      [&](double at) { return context_->wall - at < kArrivalWindowS; });
  const double span =
      std::clamp(context_->wall - *first, kLeastArrivalSpanS, kArrivalWindowS);
  const double in_a_boot = static_cast<double>(recent) * ShortestBootS() / span;
  const double slots = std::ceil(usual.tasks * (kHeadroomJobs + in_a_boot));
  return std::min(slots, SlotsUnderLimit(usual.spec));
}

std::vector<Placement::Headroom> Placement::HeadroomNeeds() const {
  std::vector<Headroom> needs;
  for (const auto& [job_class, usual] : jobs_->class_profiles())
    if (usual.spec.IsService())
      needs.push_back({job_class, usual, StandbySlots(usual)});
  return needs;
}

void Placement::MeasureReserves() {
  reserves_.clear();
  reserves_stale_ = false;
  std::vector<std::string> classes;
  for (const Objective& objective : settings_->objectives)
    if (objective.kind == "wait" &&
        objective.within_s <= kImmediateStartWithinS)
      classes.push_back(objective.job_class);
  for (const auto& [job_class, usual] : jobs_->class_profiles())
    if (usual.spec.IsService() &&
        std::find(classes.begin(), classes.end(), job_class) == classes.end())
      classes.push_back(job_class);
  for (const std::string& job_class : classes) {
    const ClassProfile* usual = jobs_->ProfileOf(job_class);
    if (!usual) continue;
    Reserve reserve;
    reserve.job_class = job_class;
    reserve.usual = *usual;
    double total = 0;
    context_->work += machines_->all().size();
    const size_t index = reserves_.size();
    for (const auto& [name, machine] : machines_->all()) {
      machine->reserve_slots.resize(index + 1);
      double& slots = machine->reserve_slots[index] = 0;
      if (!AcceptsTasks(*machine)) continue;
      reserve.free[machine->zone] += slots = Slots(*machine, *usual, 0, 0);
      total +=
          Slots(*machine, *usual, -machine->cpus_used, -machine->memory_used);
    }
    reserve.slots = usual->spec.IsService()
                        ? std::ceil(usual->tasks * kReserveJobs)
                        : std::min(std::ceil(usual->tasks * kReserveJobs),
                                   total * kReserveMostShare);
    reserves_.push_back(std::move(reserve));
  }
}

void Placement::Recount(Machine* machine) {
  machine->reserve_slots.resize(reserves_.size());
  for (size_t i = 0; i < reserves_.size(); ++i) {
    double& counted = machine->reserve_slots[i];
    const double slots = Slots(*machine, reserves_[i].usual, 0, 0);
    reserves_[i].free[machine->zone] += slots - counted;
    counted = slots;
  }
}

bool Placement::StartsAtOnce(const Job& job) const {
  return std::any_of(reserves_.begin(), reserves_.end(), [&](const Reserve& r) {
    return r.job_class == job.spec().job_class;
  });
}

bool Placement::LeavesReserves(const Job& job, const Machine& machine) const {
  const JobSpec& spec = job.spec();
  for (const Reserve& reserve : reserves_) {
    if (reserve.job_class == spec.job_class ||
        spec.priority > reserve.usual.spec.priority)
      continue;
    // Guards against work that waits for ever beside room that is kept free:
    // for a service it can be stopped again.
    if (reserve.usual.spec.IsService() &&
        context_->now - job.queued_at > kReserveYieldS)
      continue;
    const double before = Slots(machine, reserve.usual, 0, 0);
    const double after =
        Slots(machine, reserve.usual, spec.cpus, spec.memory_gb);
    if (after >= before) continue;
    Reserve then = reserve;
    then.free[machine.zone] += after - before;
    if (then.Covered() < reserve.slots) return false;
  }
  return true;
}

void Placement::AssignCounted(Job* job, uint32_t task, Machine* machine,
                              uint64_t term) {
  Assign(job, task, machine, term);
  Recount(machine);
}

Machine* Placement::BestFit(const Job& job,
                            const std::vector<Machine*>& candidates,
                            bool owned_only,
                            const std::vector<const Job*>& owed) const {
  Machine* best = nullptr;
  Rank best_rank;
  const bool at_once = StartsAtOnce(job);
  context_->work += candidates.size();
  for (Machine* machine : candidates) {
    if (owned_only && !machine->role.baseline) continue;
    if (!machine->Fits(job.spec()) || !IsEligible(job, *machine) ||
        !LeavesReserves(job, *machine) || KeptFor(owed, job, *machine))
      continue;
    // The image decides between equals, and before the fit where its fetch is
    // long beside the task. What is to start at once goes where its image is,
    // and among such machines to the next to report.
    const bool fetch = !machine->HasImage(job.spec().image);
    const Rank rank{machine->role.excess,
                    at_once && fetch,
                    ReplicasOn(job, *machine),
                    at_once ? machine->contact.last_heartbeat_at : 0,
                    !machine->role.baseline,
                    spread_ && spread_->WouldCrowd(job, *machine),
                    fetch && LongFetch(job, *machine),
                    machine->cpus_free(),
                    fetch,
                    spread_ ? spread_->TieBreak(job, *machine) : 0};
    if (best && !(rank < best_rank)) continue;
    best = machine;
    best_rank = rank;
  }
  return best;
}

size_t Placement::ReplicasOn(const Job& job, const Machine& machine) {
  if (!job.spec().IsService()) return 0;
  return static_cast<size_t>(std::count_if(
      job.progress.machine_of_task.begin(), job.progress.machine_of_task.end(),
      [&](const auto& item) { return item.second == machine.name; }));
}

bool Placement::LongFetch(const Job& job, const Machine& machine) const {
  return job.spec().image_gb > kLongFetchShare * jobs_->Estimate(job.spec()) *
                                   machine.type->fetch_gb_per_s;
}

void Placement::ClaimForServices() {
  service_claims_.clear();
  for (const Job* job : jobs_->services()) {
    if (!MayStartTask(*job)) continue;
    service_claims_[job->spec().team] +=
        job->RunnableTasks(context_->now) * job->spec().cpus;
  }
}

std::vector<Job*> Placement::Front() {
  ClaimForServices();
  std::vector<Job*> front;
  // Beyond the first jobs each team has a part of the front: preconditions
  // against a team with much work filling it and going beyond its guarantee
  // while another is kept from its own.
  std::map<std::string_view, size_t> of_team;
  size_t full = 0;  // teams that have their part
  for (Job* job : jobs_->queue()) {
    ++context_->work;
    size_t& taken = of_team[job->spec().team];
    if ((front.size() >= kFrontJobs && taken >= kFrontJobsOfTeam) ||
        !MayStartTask(*job) || !WithinQuota(*job))
      continue;
    front.push_back(job);
    if (++taken == kFrontJobsOfTeam) ++full;
    if (front.size() >= kFrontJobs && full >= settings_->teams.size()) break;
  }
  return front;
}

// More machines than can be searched: a sample, drawn anew each pass, with the
// base and the machines that hold the images of the first jobs in it, so that
// owned room still goes first.
void Placement::Sample(const std::vector<Job*>& front,
                       std::vector<Machine*>* candidates) {
  if (candidates->size() <= kSampleMachines) return;
  std::shuffle(candidates->begin(), candidates->end(), context_->rng);
  const size_t looked_at = std::min(front.size(), kSampleJobs);
  std::stable_partition(
      candidates->begin(), candidates->end(), [&](const Machine* machine) {
        return machine->role.baseline ||
               std::any_of(front.begin(),
                           front.begin() + static_cast<ptrdiff_t>(looked_at),
                           [&](const Job* job) {
                             return machine->HasImage(job->spec().image);
                           });
      });
  candidates->resize(kSampleMachines);
}

void Placement::RunPass(uint64_t term) {
  const std::vector<Job*> front = Front();
  reserves_stale_ = front.empty();
  if (front.empty()) return;
  MeasureReserves();
  std::vector<Machine*> candidates;
  context_->work += machines_->all().size();
  for (auto& [name, machine] : machines_->all())
    if (machine->cpus_free() > 0 && AcceptsTasks(*machine))
      candidates.push_back(machine.get());
  if (candidates.empty()) return;
  if (spread_) spread_->Update(context_->now);
  Sample(front, &candidates);
  // First every team up to its guarantee, then whoever is next.
  std::vector<const Job*> owed;
  for (const bool guaranteed : {true, false}) {
    if (!guaranteed) owed = Owed(front);
    for (Job* job : front) {
      for (const bool owned : {true, false}) {
        // The best fit stays the best until it is full.
        while (NextTask(*job, owned) && WithinQuota(*job) &&
               (!guaranteed || HasPrecedence(*job))) {
          Machine* machine = BestFit(*job, candidates, owned, owed);
          if (!machine) break;
          const bool even = spread_ && !spread_->WouldCrowd(*job, *machine);
          if (!Put(job, owned, guaranteed, even, machine, term)) break;
        }
      }
    }
  }
}

void Placement::FillMachine(Machine* machine, uint64_t term) {
  if (!AcceptsTasks(*machine) || machine->role.excess ||
      machine->cpus_free() <= 0)
    return;
  const std::vector<Job*> front = Front();
  if (front.empty()) return;
  if (reserves_stale_) MeasureReserves();
  Recount(machine);
  std::vector<const Job*> owed;
  for (const bool guaranteed : {true, false}) {
    if (!guaranteed) owed = Owed(front);
    for (Job* job : front) {
      if (KeptFor(owed, *job, *machine)) continue;
      for (const bool owned : {true, false}) {
        if (owned && !machine->role.baseline) continue;
        Put(job, owned, guaranteed, /*even=*/spread_ && !machine->role.baseline,
            machine, term);
      }
      if (machine->cpus_free() <= 0) return;
    }
  }
}

// Puts tasks of the job on the machine until one of the two is exhausted, or,
// with `even`, one more would crowd the machine; false when it could put none.
bool Placement::Put(Job* job, bool owned, bool guaranteed, bool even,
                    Machine* machine, uint64_t term) {
  bool any = false;
  while (machine->Fits(job->spec()) && IsEligible(*job, *machine) &&
         WithinQuota(*job) && LeavesReserves(*job, *machine) &&
         (!guaranteed || HasPrecedence(*job)) &&
         (!even || !spread_->WouldCrowd(*job, *machine))) {
    const auto task = NextTask(*job, owned);
    if (!task) break;
    AssignCounted(job, *task, machine, term);
    any = true;
  }
  return any;
}

std::vector<const Job*> Placement::Owed(const std::vector<Job*>& front) const {
  std::vector<const Job*> owed;
  for (const Job* job : front)
    if (HasPrecedence(*job) && WithinQuota(*job) && NextTask(*job, false))
      owed.push_back(job);
  return owed;
}

bool Placement::CouldHold(const Machine& machine, const Job& job) const {
  return machine.type && IsEligible(job, machine) &&
         job.spec().cpus <= machine.type->cpus &&
         job.spec().gpus <= machine.type->gpus &&
         job.spec().memory_gb <= machine.type->memory_gb;
}

bool Placement::KeptFor(const std::vector<const Job*>& owed, const Job& job,
                        const Machine& machine) const {
  if (owed.empty() || !machine.type || HasPrecedence(job) ||
      jobs_->Estimate(job.spec()) <= machine.type->boot_s)
    return false;
  return std::any_of(owed.begin(), owed.end(), [&](const Job* waiting) {
    return waiting != &job && CouldHold(machine, *waiting);
  });
}

bool Placement::IsPreemptible(const TaskAttempt& attempt) const {
  const JobSpec& spec = attempt.record->spec;
  return attempt.job_active && !attempt.stop && attempt.running_since > 0 &&
         context_->now - attempt.running_since > kMinRunBeforeMoveS &&
         spec.checkpoint_s > 0 && spec.save_s <= kMaxCheckpointSaveS;
}

void Placement::PreemptForGuarantees() {
  const std::vector<Job*> front = Front();
  const std::vector<const Job*> owed = Owed(front);
  if (owed.empty()) return;
  std::map<std::string, double> beyond, due;  // CPUs, by team
  for (const Team& team : settings_->teams) {
    const double use = jobs_->UsageOf(team.name).cpus;
    beyond[team.name] = use - team.cpus;
    due[team.name] = team.cpus - use;
  }
  struct Room {
    Machine* machine = nullptr;
    double cpus = 0, memory_gb = 0;  // free, or about to be
    std::vector<TaskAttempt*> could_stop;
  };
  std::vector<Room> rooms;
  context_->work += machines_->all().size();
  for (auto& [name, machine] : machines_->all()) {
    if (!AcceptsTasks(*machine) || !machine->type) continue;
    Room room{machine.get(), machine->cpus_free(), machine->memory_free(), {}};
    for (auto& [key, attempt] : machine->attempts) {
      if (attempt.stop) {
        room.cpus += attempt.cpus;
        room.memory_gb += attempt.memory_gb;
      } else if (beyond[attempt.record->spec.team] >= attempt.cpus &&
                 IsPreemptible(attempt)) {
        room.could_stop.push_back(&attempt);
      }
    }
    // A machine that is full of what may not be stopped is no room.
    if (room.cpus > 0 || !room.could_stop.empty())
      rooms.push_back(std::move(room));
  }
  for (const Job* job : owed) {
    const JobSpec& spec = job->spec();
    const auto fits = [&](const Room& room) {
      return spec.cpus <= room.cpus && spec.memory_gb <= room.memory_gb;
    };
    double& left = due[spec.team];
    double count = job->progress.pending.size();
    const auto wanted = [&] {
      return count >= 1 && left >= std::max(spec.cpus, 1e-6);
    };
    // Room that is free, or coming free, is counted before any is made.
    for (const bool make : {false, true}) {
      for (Room& room : rooms) {
        if (!wanted()) break;
        if (!CouldHold(*room.machine, *job)) continue;
        if (make) {
          double cpus = room.cpus, memory_gb = room.memory_gb;
          for (const TaskAttempt* attempt : room.could_stop) {
            cpus += attempt->cpus;
            memory_gb += attempt->memory_gb;
          }
          if (spec.cpus > cpus || spec.memory_gb > memory_gb) continue;
        }
        while (wanted()) {
          while (make && !fits(room) && !room.could_stop.empty()) {
            TaskAttempt* attempt = room.could_stop.back();
            room.could_stop.pop_back();
            double& over = beyond[attempt->record->spec.team];
            if (over < attempt->cpus) continue;
            over -= attempt->cpus;
            attempt->stop = true;
            attempt->stop_grace_s = attempt->record->spec.save_s + 1;
            room.cpus += attempt->cpus;
            room.memory_gb += attempt->memory_gb;
          }
          if (!fits(room)) break;
          room.cpus -= spec.cpus;
          room.memory_gb -= spec.memory_gb;
          left -= spec.cpus;
          count -= 1;
        }
      }
    }
  }
}

}  // namespace sorrelwood
