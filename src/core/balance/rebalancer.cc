#include "core/balance/rebalancer.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "base/constants.h"
#include "core/balance/image_affinity.h"
#include "core/scheduling/task_stop.h"

namespace sorrelwood {

std::string ToString(MoveReason reason) {
  switch (reason) {
    case MoveReason::kCrowded: return "its machine is crowded";
    case MoveReason::kSlow: return "its machine is slow";
  }
  return "";
}

std::string ToString(MoveFailure failure) {
  switch (failure) {
    case MoveFailure::kTooLate: return "too_late";
    case MoveFailure::kJobEnded: return "job_ended";
    case MoveFailure::kPlaceLost: return "place_lost";
    case MoveFailure::kNotNow: return "not_now";
  }
  return "";
}

void Rebalancer::Clear() {
  moves_.clear();
  moved_at_.clear();
  budget_.Clear();
  speeds_.Clear();
  targets_.Clear();
  imbalance_ = uneven_since_ = paused_until_ = 0;
  evening_out_ = false;
}

void Rebalancer::Tick(bool may_dispatch) {
  if (!spread_.moves || context_->now < next_tick_) return;
  next_tick_ = context_->now + kRebalanceIntervalS;
  GiveUpLate();
  bounds_.Update(context_->now);
  const Imbalance imbalance = meter_.Measure(machines_);
  imbalance_ = imbalance.share;
  const bool may_even_out = MayMove();
  // While machines are unreconciled for, what is stopped might not start again.
  if (!may_dispatch || placement_->admission().unreconciled_machines() > 0)
    return;
  CollectTargets();
  if (targets_.empty()) return;
  if (may_even_out) MoveOffCrowded(imbalance.crowded);
  MoveOffSlow();
}

// Hysteresis: guards against moves to and fro about one threshold. They
// begin once the fleet has been uneven for a while, go on until it is well
// within the margin, and then rest.
bool Rebalancer::MayMove() {
  if (imbalance_ < spread_.start_imbalance) uneven_since_ = 0;
  if (imbalance_ >= spread_.start_imbalance && uneven_since_ == 0)
    uneven_since_ = context_->now;
  if (evening_out_ && imbalance_ < spread_.stop_imbalance) {
    evening_out_ = false;
    paused_until_ = context_->now + spread_.cooldown_s;
  }
  const bool lasting =
      uneven_since_ > 0 &&
      context_->now - uneven_since_ >= spread_.min_imbalance_duration_s;
  if (lasting && context_->now >= paused_until_) evening_out_ = true;
  return evening_out_;
}

void Rebalancer::CollectTargets() {
  targets_.Clear();
  for (auto& [name, machine] : machines_->all()) {
    if (!LoadBounds::Counts(*machine) ||
        !placement_->eligibility().AcceptsTasks(*machine) ||
        machine->cpus_free() <= 0 || speeds_.IsSlow(name) ||
        machine->cpus_used + machine->reserved_cpus >= bounds_.OfAll(*machine))
      continue;
    targets_.Add(machine.get());
  }
}

void Rebalancer::MoveOffCrowded(const std::vector<CrowdedMachine>& crowded) {
  for (CrowdedMachine worst : crowded) Relieve(&worst);
}

void Rebalancer::MoveOffSlow() {
  for (auto& [name, machine] : machines_->all()) {
    if (!LoadBounds::Counts(*machine) || !speeds_.IsSlow(name)) continue;
    for (auto& [key, attempt] : machine->attempts) {
      if (!WorthMoving(key, attempt)) continue;
      const Job* job = jobs_->Find(key.job);
      if (Machine* to = ChooseTarget(*job, *machine))
        Begin(key, &attempt, machine.get(), to, MoveReason::kSlow);
    }
  }
}

void Rebalancer::Relieve(CrowdedMachine* crowded) {
  Machine* machine = crowded->machine;
  // What is leaving already counts as gone.
  for (const auto& [key, attempt] : machine->attempts)
    if (attempt.stop) crowded->excess_cpus -= attempt.cpus;
  for (auto& [key, attempt] : machine->attempts) {
    if (crowded->excess_cpus <= 0) return;
    const std::string& team = attempt.record->spec.team;
    double* team_excess = nullptr;
    if (!crowded->excess_by_team.empty()) {
      const auto it = crowded->excess_by_team.find(team);
      if (it == crowded->excess_by_team.end() || it->second <= 0) continue;
      team_excess = &it->second;
    }
    if (!WorthMoving(key, attempt)) continue;
    const Job* job = jobs_->Find(key.job);
    Machine* to = ChooseTarget(*job, *machine);
    if (!to) continue;
    Begin(key, &attempt, machine, to, MoveReason::kCrowded);
    crowded->excess_cpus -= attempt.cpus;
    if (team_excess) *team_excess -= attempt.cpus;
  }
}

bool Rebalancer::WorthMoving(const TaskId& key,
                             const TaskAttempt& attempt) const {
  const JobSpec& spec = attempt.record->spec;
  if (attempt.phase != AttemptPhase::kConfirmed ||
      attempt.state != TaskState::kRunning || attempt.stop ||
      !attempt.job_active)
    return false;
  const double ran_s = context_->now - attempt.running_since;
  const bool loses_little = spec.IsService()
                                ? attempt.stable && ran_s > kMinRunBeforeMoveS
                                : IsPreemptible(attempt, context_->now);
  if (!loses_little) return false;
  const Job* job = jobs_->Find(key.job);
  if (!job || job->finishing || job->failing()) return false;
  if (jobs_->EstimateRunTime(spec) - ran_s < kMinRemainingRunForMoveS)
    return false;
  const auto moved = moved_at_.find(key);
  return moved == moved_at_.end() ||
         context_->now - moved->second >= spread_.cooldown_s;
}

bool Rebalancer::CanTake(const Job& job, const Machine& target,
                         const Machine& from) const {
  if (&target == &from || target.role.excess ||
      !placement_->eligibility().AcceptsTasks(target) ||
      !target.Fits(job.spec()) ||
      !placement_->eligibility().IsEligibleAfterLeaving(job, target, from) ||
      !bounds_.Allow(job, target))
    return false;
  return target.HasImage(job.spec().image) ||
         target.fetching.size() <
             static_cast<size_t>(spread_.max_concurrent_fetches);
}

// The best of a few machines that hold the image, or else of a few others: the
// power of d choices.
Machine* Rebalancer::ChooseTarget(const Job& job, const Machine& from) {
  const JobSpec& spec = job.spec();
  const MachineSets::Set allowed = targets_.AllowedFor(spec);
  const MachineSets::Set with_image = targets_.WithImage(allowed, spec.image);
  for (const MachineSets::Set& machines : {with_image, allowed}) {
    Machine* best = nullptr;
    std::pair<double, uint64_t> best_rank;
    for (Machine* machine :
         targets_.Draw(machines, kMoveChoices, &context_->rng)) {
      ++context_->work;
      if (!CanTake(job, *machine, from)) continue;
      const double load =
          (machine->cpus_used + machine->reserved_cpus) / machine->cpus();
      const std::pair<double, uint64_t> rank{
          load, ImageAffinity(spec.image, machine->name)};
      if (best && best_rank <= rank) continue;
      best = machine;
      best_rank = rank;
    }
    if (best) return best;
  }
  return nullptr;
}

void Rebalancer::Begin(const TaskId& key, TaskAttempt* attempt, Machine* from,
                       Machine* to, MoveReason reason) {
  const JobSpec& spec = attempt->record->spec;
  if (!budget_.Allows(spec.team, key.job, context_->now)) return;
  budget_.Spend(spec.team, key.job, context_->now);
  Move move{from->name,    to->name,           attempt->cpus,
            attempt->gpus, attempt->memory_gb, context_->now};
  to->ReserveCapacity(move.cpus, move.gpus, move.memory_gb);
  moves_[key] = move;
  moved_at_[key] = context_->now;
  if (Job* job = jobs_->Find(key.job))
    job->speculation.ran_before_move_s[key.task] =
        attempt->ran_before_s + context_->now - attempt->running_since;
  ++begun_;
  StopWithCheckpoint(attempt);
  context_->Info("moving task", {{"job", key.job},
                                 {"task", key.task},
                                 {"from", from->name},
                                 {"to", to->name},
                                 {"reason", ToString(reason)},
                                 {"imbalance", imbalance_}});
}

void Rebalancer::ReleaseCapacity(const Move& move) {
  if (Machine* to = machines_->Find(move.to))
    to->ReleaseCapacity(move.cpus, move.gpus, move.memory_gb);
}

void Rebalancer::GiveUp(Moves::iterator move, MoveFailure failure) {
  ReleaseCapacity(move->second);
  ++given_up_[failure];
  context_->Info("move given up", {{"job", move->first.job},
                                   {"task", move->first.task},
                                   {"to", move->second.to},
                                   {"reason", ToString(failure)}});
  moves_.erase(move);
}

// Guards against places that are kept for tasks whose machines hang.
void Rebalancer::GiveUpLate() {
  for (auto it = moves_.begin(); it != moves_.end();) {
    const auto move = it++;
    if (context_->now - move->second.began_at > spread_.reservation_timeout_s)
      GiveUp(move, MoveFailure::kTooLate);
  }
  for (auto it = moved_at_.begin(); it != moved_at_.end();) {
    const bool old = context_->now - it->second >= spread_.cooldown_s;
    it = old ? moved_at_.erase(it) : std::next(it);
  }
}

void Rebalancer::Released(Job* job, uint32_t task, uint64_t term) {
  const auto move = moves_.find({job->id(), task});
  if (move == moves_.end()) return;
  Machine* to = machines_->Find(move->second.to);
  const bool place_is_good = to && !to->role.excess &&
                             placement_->eligibility().AcceptsTasks(*to) &&
                             placement_->eligibility().IsEligible(*job, *to);
  const bool may_start = job->progress.pending.Contains(task) &&
                         placement_->admission().MayStartTask(*job) &&
                         placement_->admission().WithinQuota(*job);
  if (!place_is_good || !may_start) {
    GiveUp(move,
           place_is_good ? MoveFailure::kNotNow : MoveFailure::kPlaceLost);
    return;
  }
  ReleaseCapacity(move->second);
  moves_.erase(move);
  ++finished_;
  placement_->Assign(job, task, to, term);
}

void Rebalancer::TaskDone(const std::string& job, uint32_t task) {
  const auto move = moves_.find({job, task});
  if (move != moves_.end()) GiveUp(move, MoveFailure::kJobEnded);
}

void Rebalancer::OnJobEnded(const std::string& job) {
  speeds_.ForgetJob(job);
  auto it = moves_.lower_bound({job, 0});
  while (it != moves_.end() && it->first.job == job) {
    const auto move = it++;
    GiveUp(move, MoveFailure::kJobEnded);
  }
}

void Rebalancer::OnMachineGone(const std::string& machine) {
  speeds_.ForgetMachine(machine);
  for (auto it = moves_.begin(); it != moves_.end();) {
    const auto move = it++;
    if (move->second.to == machine) GiveUp(move, MoveFailure::kPlaceLost);
  }
}

void Rebalancer::LearnRunTime(const std::string& job,
                              const std::string& machine, double ran_s) {
  if (spread_.moves) speeds_.Learn(job, machine, ran_s);
}

Rebalancer::Statistics Rebalancer::CollectStatistics() const {
  return {imbalance_, moves_.size(), begun_, finished_, given_up_};
}

}  // namespace sorrelwood
