#include "core/scheduling/preemption.h"

#include <algorithm>
#include <cmath>

#include "base/constants.h"
#include "core/scheduling/task_stop.h"

namespace sorrelwood {

bool Preemption::Room::Fits(const JobSpec& spec) const {
  return spec.cpus <= cpus + kResourceRounding &&
         spec.gpus <= gpus + kResourceRounding &&
         spec.memory_gb <= memory_gb + kResourceRounding;
}

void Preemption::Room::Take(const JobSpec& spec) {
  cpus -= spec.cpus;
  gpus -= spec.gpus;
  memory_gb -= spec.memory_gb;
}

void Preemption::Room::Give(const TaskAttempt& attempt) {
  cpus += attempt.cpus;
  gpus += attempt.gpus;
  memory_gb += attempt.memory_gb;
}

std::vector<Preemption::Room> Preemption::Rooms() const {
  std::vector<Room> rooms;
  for (auto& [name, machine] : machines_->all()) {
    if (!machine->type || !placement_->eligibility().AcceptsTasks(*machine))
      continue;
    Room room{machine.get(), machine->cpus_free(), machine->gpus_free(),
              machine->memory_free()};
    for (const auto& [key, attempt] : machine->attempts)
      if (attempt.stop) room.Give(attempt);
    rooms.push_back(room);
  }
  // Beyond so many machines a sample has to do: each waiting replica looks at
  // all rooms and at the tasks in them.
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

double Preemption::LostWork(const TaskAttempt& attempt) const {
  const JobSpec& spec = attempt.record->spec;
  const double ran =
      attempt.running_since > 0 ? context_->now - attempt.running_since : 0;
  return spec.cpus * (spec.checkpoint_interval_s > 0 ? spec.save_s : ran);
}

uint32_t Preemption::MakeRoomUnderLimit(const Job& job, uint32_t waiting) {
  const JobSpec& spec = job.spec();
  double limit = kNoLimit;
  for (const Team& team : settings_->teams)
    if (team.name == spec.team) limit = team.cpus_max;
  double left = limit - jobs_->UsageOf(spec.team).cpus;
  if (waiting * spec.cpus <= left + kResourceRounding) return waiting;
  std::vector<std::pair<double, TaskAttempt*>> candidates;
  for (auto& [name, machine] : machines_->all()) {
    for (auto& [key, attempt] : machine->attempts) {
      if (attempt.record->spec.team != spec.team) continue;
      if (attempt.stop)
        left += attempt.cpus;
      else if (MayStopFor(job, attempt))
        candidates.emplace_back(LostWork(attempt), &attempt);
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& [lost_work, attempt] : candidates) {
    if (waiting * spec.cpus <= left + kResourceRounding) break;
    StopWithCheckpoint(attempt);
    left += attempt->cpus;
  }
  const double fit = std::floor(left / spec.cpus + kResourceRounding);
  return static_cast<uint32_t>(std::clamp<double>(fit, 0, waiting));
}

Preemption::Victims Preemption::Choose(const Job& job, const Room& room) const {
  std::vector<std::pair<double, TaskAttempt*>> candidates;
  for (auto& [key, attempt] : room.machine->attempts)
    if (MayStopFor(job, attempt))
      candidates.emplace_back(LostWork(attempt), &attempt);
  std::sort(candidates.begin(), candidates.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  Victims victims;
  Room after = room;
  for (const auto& [lost_work, attempt] : candidates) {
    if (after.Fits(job.spec())) break;
    after.Give(*attempt);
    victims.attempts.push_back(attempt);
    victims.lost_work += lost_work;
  }
  if (!after.Fits(job.spec())) victims.attempts.clear();
  return victims;
}

void Preemption::MakeRoomFor(const Job& job, std::vector<Room>* rooms) {
  const JobSpec& spec = job.spec();
  uint32_t waiting = placement_->admission().MayStartTask(job)
                         ? job.RunnableTasks(context_->now)
                         : 0;
  if (spec.cpus > 0) waiting = MakeRoomUnderLimit(job, waiting);
  if (waiting == 0) return;
  // Those that were stopped for the limit are room by now.
  if (rooms->empty()) *rooms = Rooms();
  std::map<std::string, uint32_t> planned;  // by zone
  const auto allowed = [&](const Room& room) {
    return placement_->eligibility().IsEligible(job, *room.machine) &&
           SpreadAllows(job, room.machine->zone, planned[room.machine->zone]);
  };
  for (uint32_t i = 0; i < waiting; ++i) {
    Room* best = nullptr;
    Victims least;
    for (Room& room : *rooms) {
      if (!allowed(room)) continue;
      if (room.Fits(spec)) {
        best = &room;
        least = Victims();
        break;
      }
      Victims victims = Choose(job, room);
      if (victims.attempts.empty() ||
          (best && victims.lost_work >= least.lost_work))
        continue;
      best = &room;
      least = std::move(victims);
    }
    if (!best) return;
    for (TaskAttempt* attempt : least.attempts) {
      StopWithCheckpoint(attempt);
      best->Give(*attempt);
    }
    best->Take(spec);
    ++planned[best->machine->zone];
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
