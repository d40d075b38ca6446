#include "core/machines/machine_table.h"

#include <algorithm>

#include "core/jobs/job_table.h"

namespace sorrelwood {

double Machine::TeamCpus(const std::string& team) const {
  for (const auto& [name, cpus] : team_cpus)
    if (name == team) return cpus;
  return 0;
}

void Machine::AddTeamCpus(const std::string& team, double cpus) {
  const auto it =
      std::find_if(team_cpus.begin(), team_cpus.end(),
                   [&](const auto& item) { return item.first == team; });
  if (it == team_cpus.end()) {
    team_cpus.emplace_back(team, cpus);
    return;
  }
  it->second += cpus;
  constexpr double kRounding = 1e-6;
  if (it->second <= kRounding) team_cpus.erase(it);
}

void Machine::HoldPlace(double cpus, double gpus, double memory_gb) {
  ++held_places;
  held_cpus += cpus;
  held_gpus += gpus;
  held_memory += memory_gb;
}

void Machine::FreePlace(double cpus, double gpus, double memory_gb) {
  --held_places;
  held_cpus -= cpus;
  held_gpus -= gpus;
  held_memory -= memory_gb;
  if (held_places == 0) held_cpus = held_gpus = held_memory = 0;
}

void Machine::Hold(const TaskKey& key, Placed placed) {
  AddTeamCpus(placed.record->spec.team, placed.cpus);
  cpus_used += placed.cpus;
  gpus_used += placed.gpus;
  memory_used += placed.memory_gb;
  idle_since = 0;
  tasks[key] = std::move(placed);
}

Placed Machine::Drop(std::map<TaskKey, Placed>::iterator it) {
  Placed placed = std::move(it->second);
  tasks.erase(it);
  AddTeamCpus(placed.record->spec.team, -placed.cpus);
  const std::string& image = placed.record->spec.image;
  if (placed.running_since == 0 && !fetching.empty() &&
      std::none_of(tasks.begin(), tasks.end(), [&](const auto& item) {
        return item.second.running_since == 0 &&
               item.second.record->spec.image == image;
      }))
    EndFetch(image);
  cpus_used -= placed.cpus;
  gpus_used -= placed.gpus;
  memory_used -= placed.memory_gb;
  if (tasks.empty()) cpus_used = gpus_used = memory_used = 0;
  return placed;
}

bool Machine::HasImage(const std::string& image) const {
  return image.empty() ||
         std::find(images.begin(), images.end(), image) != images.end();
}

void Machine::UseImage(const std::string& image) {
  if (image.empty()) return;
  auto it = std::find(images.begin(), images.end(), image);
  if (it != images.end()) images.erase(it);
  images.push_back(image);
}

void Machine::EndFetch(const std::string& image) {
  fetching.erase(std::remove(fetching.begin(), fetching.end(), image),
                 fetching.end());
}

Machine* MachineTable::Find(const std::string& name) {
  auto it = machines_.find(name);
  return it == machines_.end() ? nullptr : it->second.get();
}

Machine* MachineTable::Add(const std::string& name) {
  auto& slot = machines_[name];
  if (!slot) {
    slot = std::make_unique<Machine>();
    slot->name = name;
  }
  return slot.get();
}

size_t MachineTable::RunningReplicas(const Job& job) const {
  size_t running = 0;
  for (const auto& [task, name] : job.placed) {
    const auto machine = machines_.find(name);
    if (machine == machines_.end()) continue;
    const auto it = machine->second->tasks.find({job.id(), task});
    if (it != machine->second->tasks.end() && it->second.running_since > 0)
      ++running;
  }
  return running;
}

void MachineTable::Remove(const std::string& name) {
  machines_.erase(name);
  gone_.insert(name);
}

void MachineTable::Clear() {
  machines_.clear();
  gone_.clear();
}

}  // namespace sorrelwood
