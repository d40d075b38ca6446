#include "core/preemption.h"

#include <algorithm>
#include <cmath>

#include "core/constants.h"

namespace sorrelwood {
namespace {

constexpr double kRounding = 1e-6;

}  // namespace

bool Preemption::Room::Fits(const JobSpec& spec) const {
  return spec.cpus <= cpus + kRounding && spec.gpus <= gpus + kRounding &&
         spec.memory_gb <= memory_gb + kRounding;
}

void Preemption::Room::Take(const JobSpec& spec) {
  cpus -= spec.cpus;
  gpus -= spec.gpus;
  memory_gb -= spec.memory_gb;
}

void Preemption::Room::Give(const Placed& placed) {
  cpus += placed.cpus;
  gpus += placed.gpus;
  memory_gb += placed.memory_gb;
}

std::vector<Preemption::Room> Preemption::Rooms() const {
  std::vector<Room> rooms;
  for (auto& [name, machine] : machines_->all()) {
    if (!machine->type || !placement_->Usable(*machine)) continue;
    Room room{machine.get(), machine->cpus_free(),
              machine->type->gpus - machine->gpus_used,
              machine->type->memory_gb - machine->memory_used};
    for (const auto& [key, placed] : machine->tasks)
      if (placed.stop) room.Give(placed);
    rooms.push_back(room);
  }
  return rooms;
}

uint32_t Preemption::Waiting(const Job& job) const {
  if (!placement_->Startable(job)) return 0;
  uint32_t waiting = 0;
  for (const auto& [first, last] : job.pending.ranges())
    for (uint32_t task = first; task < last; ++task)
      if (!job.HeldBack(task, context_->now)) ++waiting;
  if (job.failing()) waiting = std::min(waiting, 1u);
  for (const Team& team : settings_->teams) {
    if (team.name != job.spec().team || job.spec().cpus <= 0) continue;
    const double left = team.cpus_max - jobs_->use(team.name).cpus;
    const double fit = std::floor(left / job.spec().cpus + kRounding);
    waiting =
        static_cast<uint32_t>(std::min<double>(waiting, std::max(0.0, fit)));
  }
  return waiting;
}

Preemption::Victims Preemption::Choose(const Job& job, const Room& room) const {
  std::vector<std::pair<double, Placed*>> candidates;
  for (auto& [key, placed] : room.machine->tasks) {
    const JobSpec& spec = placed.record->spec;
    if (placed.stop || !placed.job_live || spec.IsService() ||
        placed.phase != PlacedPhase::kPresent ||
        spec.priority >= job.spec().priority)
      continue;
    const double ran =
        placed.running_since > 0 ? context_->now - placed.running_since : 0;
    candidates.emplace_back(
        spec.cpus * (spec.checkpoint_s > 0 ? spec.save_s : ran), &placed);
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  Victims victims;
  Room after = room;
  for (const auto& [lost_work, placed] : candidates) {
    if (after.Fits(job.spec())) break;
    after.Give(*placed);
    victims.tasks.push_back(placed);
    victims.lost_work += lost_work;
  }
  if (!after.Fits(job.spec())) victims.tasks.clear();
  return victims;
}

void Preemption::MakeRoomFor(const Job& job, std::vector<Room>* rooms) {
  const JobSpec& spec = job.spec();
  const uint32_t waiting = Waiting(job);
  std::map<std::string, uint32_t> planned;  // by zone
  const auto allowed = [&](const Room& room) {
    return placement_->Allowed(job, *room.machine) &&
           placement_->SpreadAllows(job, room.machine->zone,
                                    planned[room.machine->zone]);
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
      if (victims.tasks.empty() ||
          (best && victims.lost_work >= least.lost_work))
        continue;
      best = &room;
      least = std::move(victims);
    }
    if (!best) return;
    for (Placed* placed : least.tasks) {
      placed->stop = true;
      const JobSpec& stopped = placed->record->spec;
      placed->stop_grace_s = stopped.checkpoint_s > 0 ? stopped.save_s + 1 : 0;
      best->Give(*placed);
    }
    best->Take(spec);
    ++planned[best->machine->zone];
  }
}

void Preemption::MakeRoomForServices() {
  std::vector<Room> rooms;
  for (const Job* job : jobs_->queue()) {
    if (!job->spec().IsService() || job->pending.empty()) continue;
    if (rooms.empty()) rooms = Rooms();
    MakeRoomFor(*job, &rooms);
  }
}

}  // namespace sorrelwood
