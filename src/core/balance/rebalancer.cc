#include "core/balance/rebalancer.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "base/constants/autoscaling.h"
#include "base/constants/load_spread.h"
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
    case MoveFailure::kTargetLost: return "place_lost";
    case MoveFailure::kStartNotAllowed: return "not_now";
  }
  return "";
}

void Rebalancer::Clear() {
  moves_.clear();
  moved_at_.clear();
  budget_.Clear();
  speeds_.Clear();
  targets_.Clear();
  imbalance_ = imbalanced_since_ = cooldown_until_ = 0;
  reducing_imbalance_ = false;
}

void Rebalancer::Tick(bool may_dispatch) {
  if (!spread_.moves || context_->now < next_tick_at_) return;
  next_tick_at_ = context_->now + kRebalanceIntervalS;
  ExpireMoves();
  bounds_.Update(context_->now);
  const Imbalance imbalance = meter_.Measure(machines_);
  imbalance_ = imbalance.share;
  const bool reduce_imbalance = UpdateReducingImbalance();
  // While machines are not reconciled, a task that is stopped might not be
  // allowed to start again.
  if (!may_dispatch || placement_->admission().unreconciled_machines() > 0)
    return;
  CollectTargets();
  if (targets_.empty()) return;
  if (reduce_imbalance) MoveTasksOffCrowdedMachines(imbalance.crowded);
  MoveTasksOffSlowMachines();
}

// Hysteresis: with a single threshold, tasks would be moved back and forth
// around it. Moves start once the imbalance has lasted for a while, continue
// until it is well below the threshold, and then pause for the cooldown.
bool Rebalancer::UpdateReducingImbalance() {
  if (imbalance_ < spread_.start_imbalance) imbalanced_since_ = 0;
  if (imbalance_ >= spread_.start_imbalance && imbalanced_since_ == 0)
    imbalanced_since_ = context_->now;
  if (reducing_imbalance_ && imbalance_ < spread_.stop_imbalance) {
    reducing_imbalance_ = false;
    cooldown_until_ = context_->now + spread_.cooldown_s;
  }
  const bool lasted_long_enough =
      imbalanced_since_ > 0 &&
      context_->now - imbalanced_since_ >= spread_.min_imbalance_duration_s;
  if (lasted_long_enough && context_->now >= cooldown_until_)
    reducing_imbalance_ = true;
  return reducing_imbalance_;
}

void Rebalancer::CollectTargets() {
  targets_.Clear();
  for (auto& [name, machine] : machines_->all()) {
    if (!LoadBounds::IsIncluded(*machine) ||
        !placement_->eligibility().AcceptsTasks(*machine) ||
        machine->cpus_free() <= 0 || speeds_.IsSlow(name) ||
        machine->used.cpus + machine->reserved.cpus >=
            bounds_.TotalBound(*machine))
      continue;
    targets_.Add(machine.get());
  }
}

void Rebalancer::MoveTasksOffCrowdedMachines(
    const std::vector<CrowdedMachine>& crowded) {
  for (CrowdedMachine machine : crowded) MoveExcessTasks(&machine);
}

void Rebalancer::MoveTasksOffSlowMachines() {
  for (auto& [name, machine] : machines_->all()) {
    if (!LoadBounds::IsIncluded(*machine) || !speeds_.IsSlow(name)) continue;
    for (auto& [task_id, attempt] : machine->attempts) {
      if (!IsWorthMoving(task_id, attempt)) continue;
      const Job* job = jobs_->Find(task_id.job);
      if (Machine* target = ChooseTarget(*job, *machine))
        StartMove(task_id, &attempt, machine.get(), target, MoveReason::kSlow);
    }
  }
}

void Rebalancer::MoveExcessTasks(CrowdedMachine* crowded) {
  Machine* machine = crowded->machine;
  // Tasks that are being stopped no longer count towards the excess.
  for (const auto& [task_id, attempt] : machine->attempts)
    if (attempt.stop) crowded->excess_cpus -= attempt.resources.cpus;
  for (auto& [task_id, attempt] : machine->attempts) {
    if (crowded->excess_cpus <= 0) return;
    const std::string& team = attempt.record->spec.team;
    // Where teams exceed their bounds, only their tasks are moved.
    double* team_excess = nullptr;
    if (!crowded->excess_by_team.empty()) {
      const auto excess = crowded->excess_by_team.find(team);
      if (excess == crowded->excess_by_team.end() || excess->second <= 0)
        continue;
      team_excess = &excess->second;
    }
    if (!IsWorthMoving(task_id, attempt)) continue;
    const Job* job = jobs_->Find(task_id.job);
    Machine* target = ChooseTarget(*job, *machine);
    if (!target) continue;
    StartMove(task_id, &attempt, machine, target, MoveReason::kCrowded);
    crowded->excess_cpus -= attempt.resources.cpus;
    if (team_excess) *team_excess -= attempt.resources.cpus;
  }
}

bool Rebalancer::IsWorthMoving(const TaskId& task_id,
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
  const Job* job = jobs_->Find(task_id.job);
  if (!job || job->finishing || job->failing()) return false;
  if (jobs_->EstimateRunTime(spec) - ran_s < kMinRemainingRunForMoveS)
    return false;
  const auto moved = moved_at_.find(task_id);
  return moved == moved_at_.end() ||
         context_->now - moved->second >= spread_.cooldown_s;
}

bool Rebalancer::CanMoveTo(const Machine& target, const Job& job,
                           const Machine& from) const {
  if (&target == &from || target.role.excess ||
      !placement_->eligibility().AcceptsTasks(target) ||
      !target.Fits(job.spec()) ||
      !placement_->eligibility().IsEligibleAfterLeaving(job, target, from) ||
      !bounds_.AllowsTask(job, target))
    return false;
  return target.HasImage(job.spec().image) ||
         target.fetching.size() <
             static_cast<size_t>(spread_.max_concurrent_fetches);
}

// Takes the best of a few sampled machines that hold the image or, if none is
// suitable, of a few sampled from all allowed ones: the power of d choices.
Machine* Rebalancer::ChooseTarget(const Job& job, const Machine& from) {
  const JobSpec& spec = job.spec();
  const MachineSets::Set allowed = targets_.AllowedFor(spec);
  const MachineSets::Set with_image = targets_.WithImage(allowed, spec.image);
  for (const MachineSets::Set& machines : {with_image, allowed}) {
    Machine* best = nullptr;
    std::pair<double, uint64_t> best_rank;
    for (Machine* machine :
         targets_.Sample(machines, kMoveChoices, &context_->rng)) {
      ++context_->items_examined;
      if (!CanMoveTo(*machine, job, from)) continue;
      const double load =
          (machine->used.cpus + machine->reserved.cpus) / machine->cpus();
      const std::pair<double, uint64_t> rank{
          load, ImageAffinityRank(spec.image, machine->name)};
      if (best && best_rank <= rank) continue;
      best = machine;
      best_rank = rank;
    }
    if (best) return best;
  }
  return nullptr;
}

void Rebalancer::StartMove(const TaskId& task_id, TaskAttempt* attempt,
                           Machine* from, Machine* target, MoveReason reason) {
  const JobSpec& spec = attempt->record->spec;
  if (!budget_.Allows(spec.team, task_id.job, context_->now)) return;
  budget_.RecordMove(spec.team, task_id.job, context_->now);
  const Move move{from->name, target->name, attempt->resources, context_->now};
  target->ReserveCapacity(move.resources);
  moves_[task_id] = move;
  moved_at_[task_id] = context_->now;
  if (Job* job = jobs_->Find(task_id.job))
    job->speculation.ran_before_move_s[task_id.task] =
        attempt->ran_before_s + context_->now - attempt->running_since;
  ++started_;
  StopWithCheckpoint(attempt);
  context_->Info("moving task", {{"job", task_id.job},
                                 {"task", task_id.task},
                                 {"from", from->name},
                                 {"to", target->name},
                                 {"reason", ToString(reason)},
                                 {"imbalance", imbalance_}});
}

void Rebalancer::ReleaseCapacity(const Move& move) {
  if (Machine* target = machines_->Find(move.to))
    target->ReleaseCapacity(move.resources);
}

void Rebalancer::AbandonMove(Moves::iterator move, MoveFailure failure) {
  ReleaseCapacity(move->second);
  ++abandoned_[failure];
  context_->Info("move given up", {{"job", move->first.job},
                                   {"task", move->first.task},
                                   {"to", move->second.to},
                                   {"reason", ToString(failure)}});
  moves_.erase(move);
}

// Without the time-out, capacity would stay reserved for a task whose machine
// hangs.
void Rebalancer::ExpireMoves() {
  for (auto next = moves_.begin(); next != moves_.end();) {
    const auto move = next++;
    if (context_->now - move->second.started_at > spread_.reservation_timeout_s)
      AbandonMove(move, MoveFailure::kTooLate);
  }
  for (auto entry = moved_at_.begin(); entry != moved_at_.end();) {
    const bool cooldown_over =
        context_->now - entry->second >= spread_.cooldown_s;
    entry = cooldown_over ? moved_at_.erase(entry) : std::next(entry);
  }
}

void Rebalancer::OnTaskReleased(Job* job, uint32_t task, uint64_t term) {
  const auto move = moves_.find({job->id(), task});
  if (move == moves_.end()) return;
  Machine* target = machines_->Find(move->second.to);
  const bool target_is_usable =
      target && !target->role.excess &&
      placement_->eligibility().AcceptsTasks(*target) &&
      placement_->eligibility().IsEligible(*job, *target);
  const bool may_start = job->progress.pending.Contains(task) &&
                         placement_->admission().MayStartTask(*job) &&
                         placement_->admission().WithinQuota(*job);
  if (!target_is_usable || !may_start) {
    AbandonMove(move, target_is_usable ? MoveFailure::kStartNotAllowed
                                       : MoveFailure::kTargetLost);
    return;
  }
  ReleaseCapacity(move->second);
  moves_.erase(move);
  ++finished_;
  placement_->Assign(job, task, target, term);
}

void Rebalancer::OnTaskDone(const std::string& job, uint32_t task) {
  const auto move = moves_.find({job, task});
  if (move != moves_.end()) AbandonMove(move, MoveFailure::kJobEnded);
}

void Rebalancer::OnJobEnded(const std::string& job) {
  speeds_.ForgetJob(job);
  auto next = moves_.lower_bound({job, 0});
  while (next != moves_.end() && next->first.job == job) {
    const auto move = next++;
    AbandonMove(move, MoveFailure::kJobEnded);
  }
}

void Rebalancer::OnMachineGone(const std::string& machine) {
  speeds_.ForgetMachine(machine);
  for (auto next = moves_.begin(); next != moves_.end();) {
    const auto move = next++;
    if (move->second.to == machine) AbandonMove(move, MoveFailure::kTargetLost);
  }
}

void Rebalancer::LearnRunTime(const std::string& job,
                              const std::string& machine, double ran_s) {
  if (spread_.moves) speeds_.LearnRunTime(job, machine, ran_s);
}

Rebalancer::Statistics Rebalancer::CollectStatistics() const {
  return {imbalance_, moves_.size(), started_, finished_, abandoned_};
}

}  // namespace sorrelwood
