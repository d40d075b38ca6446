#include "core/scheduling/preemption.h"

#include <algorithm>
#include <cmath>

#include "base/constants/placement.h"
#include "core/scheduling/task_stop.h"

namespace sorrelwood {

std::vector<Preemption::Room> Preemption::CollectRooms() const {
  std::vector<Room> rooms;
  for (auto& [name, machine] : machines_->all()) {
    if (!machine->type || !placement_->eligibility().AcceptsTasks(*machine))
      continue;
    Room room{machine.get(), machine->Free()};
    for (const auto& [task_id, attempt] : machine->attempts)
      if (attempt.stop) room.free += attempt.resources;
    rooms.push_back(room);
  }
  // A sample bounds the cost: each pending replica examines all rooms and the
  // tasks in them.
  if (rooms.size() > kSampleMachines) {
    std::shuffle(rooms.begin(), rooms.end(), context_->rng);
    rooms.resize(kSampleMachines);
  }
  return rooms;
}

bool Preemption::MayStopFor(const Job& job, const TaskAttempt& attempt) {
  const JobSpec& spec = attempt.record->spec;
  return !attempt.stop && attempt.job_active && !spec.IsService() &&
         attempt.phase == AttemptPhase::kConfirmed &&
         spec.priority < job.spec().priority;
}

double Preemption::LostCoreSeconds(const TaskAttempt& attempt) const {
  const JobSpec& spec = attempt.record->spec;
  const double ran_s =
      attempt.running_since > 0 ? context_->now - attempt.running_since : 0;
  return spec.cpus * (spec.checkpoint_interval_s > 0 ? spec.save_s : ran_s);
}

uint32_t Preemption::MakeRoomUnderQuota(const Job& job, uint32_t pending) {
  const JobSpec& spec = job.spec();
  double cpu_quota = kNoLimit;
  for (const Team& team : settings_->teams)
    if (team.name == spec.team) cpu_quota = team.cpus_max;
  double cpus_left = cpu_quota - jobs_->UsageOf(spec.team).cpus;
  if (pending * spec.cpus <= cpus_left + kResourceRounding) return pending;
  std::vector<std::pair<double, TaskAttempt*>> candidates;
  for (auto& [name, machine] : machines_->all()) {
    for (auto& [task_id, attempt] : machine->attempts) {
      if (attempt.record->spec.team != spec.team) continue;
      if (attempt.stop)
        cpus_left += attempt.resources.cpus;
      else if (MayStopFor(job, attempt))
        candidates.emplace_back(LostCoreSeconds(attempt), &attempt);
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& [lost_core_s, attempt] : candidates) {
    if (pending * spec.cpus <= cpus_left + kResourceRounding) break;
    StopWithCheckpoint(attempt);
    cpus_left += attempt->resources.cpus;
  }
  const double tasks_that_fit =
      std::floor(cpus_left / spec.cpus + kResourceRounding);
  return static_cast<uint32_t>(std::clamp<double>(tasks_that_fit, 0, pending));
}

Preemption::Victims Preemption::ChooseVictims(const Job& job,
                                              const Room& room) const {
  std::vector<std::pair<double, TaskAttempt*>> candidates;
  for (auto& [task_id, attempt] : room.machine->attempts)
    if (MayStopFor(job, attempt))
      candidates.emplace_back(LostCoreSeconds(attempt), &attempt);
  std::sort(candidates.begin(), candidates.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  const TaskResources needed = ResourcesPerTask(job.spec());
  Victims victims;
  TaskResources free = room.free;
  for (const auto& [lost_core_s, attempt] : candidates) {
    if (needed.FitInto(free)) break;
    free += attempt->resources;
    victims.attempts.push_back(attempt);
    victims.lost_core_s += lost_core_s;
  }
  if (!needed.FitInto(free)) victims.attempts.clear();
  return victims;
}

void Preemption::MakeRoomFor(const Job& job, std::vector<Room>* rooms) {
  const JobSpec& spec = job.spec();
  uint32_t pending = placement_->admission().MayStartTask(job)
                         ? job.CountRunnableTasks(context_->now)
                         : 0;
  if (spec.cpus > 0) pending = MakeRoomUnderQuota(job, pending);
  if (pending == 0) return;
  // Collected after tasks were stopped for the quota, so that their capacity
  // counts as coming free.
  if (rooms->empty()) *rooms = CollectRooms();
  const TaskResources needed = ResourcesPerTask(spec);
  std::map<std::string, uint32_t> planned_in_zone;
  const auto is_allowed = [&](const Room& room) {
    return placement_->eligibility().IsEligible(job, *room.machine) &&
           ZoneSpreadAllows(job, room.machine->zone,
                            planned_in_zone[room.machine->zone]);
  };
  for (uint32_t i = 0; i < pending; ++i) {
    Room* best_room = nullptr;
    Victims best_victims;
    for (Room& room : *rooms) {
      if (!is_allowed(room)) continue;
      if (needed.FitInto(room.free)) {
        best_room = &room;
        best_victims = Victims();
        break;
      }
      Victims victims = ChooseVictims(job, room);
      if (victims.attempts.empty() ||
          (best_room && victims.lost_core_s >= best_victims.lost_core_s))
        continue;
      best_room = &room;
      best_victims = std::move(victims);
    }
    if (!best_room) return;
    for (TaskAttempt* attempt : best_victims.attempts) {
      StopWithCheckpoint(attempt);
      best_room->free += attempt->resources;
    }
    best_room->free -= needed;
    ++planned_in_zone[best_room->machine->zone];
  }
}

void Preemption::PreemptForServices() {
  std::vector<Room> rooms;
  for (const Job* job : jobs_->services()) {
    if (job->progress.pending.empty()) continue;
    MakeRoomFor(*job, &rooms);
  }
}

}  // namespace sorrelwood
