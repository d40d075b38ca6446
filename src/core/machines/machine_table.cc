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

void Machine::ReserveCapacity(double cpus, double gpus, double memory_gb) {
  ++reservations;
  reserved_cpus += cpus;
  reserved_gpus += gpus;
  reserved_memory += memory_gb;
}

void Machine::ReleaseCapacity(double cpus, double gpus, double memory_gb) {
  --reservations;
  reserved_cpus -= cpus;
  reserved_gpus -= gpus;
  reserved_memory -= memory_gb;
  if (reservations == 0) reserved_cpus = reserved_gpus = reserved_memory = 0;
}

void Machine::AddAttempt(const TaskId& key, TaskAttempt attempt) {
  AddTeamCpus(attempt.record->spec.team, attempt.cpus);
  cpus_used += attempt.cpus;
  gpus_used += attempt.gpus;
  memory_used += attempt.memory_gb;
  lifecycle.idle_since = 0;
  attempts[key] = std::move(attempt);
}

TaskAttempt Machine::RemoveAttempt(std::map<TaskId, TaskAttempt>::iterator it) {
  TaskAttempt attempt = std::move(it->second);
  attempts.erase(it);
  AddTeamCpus(attempt.record->spec.team, -attempt.cpus);
  const std::string& image = attempt.record->spec.image;
  if (attempt.running_since == 0 && !fetching.empty() &&
      std::none_of(attempts.begin(), attempts.end(), [&](const auto& item) {
        return item.second.running_since == 0 &&
               item.second.record->spec.image == image;
      }))
    FinishFetch(image);
  cpus_used -= attempt.cpus;
  gpus_used -= attempt.gpus;
  memory_used -= attempt.memory_gb;
  if (attempts.empty()) cpus_used = gpus_used = memory_used = 0;
  return attempt;
}

bool Machine::HasImage(const std::string& image) const {
  return image.empty() ||
         std::find(images.begin(), images.end(), image) != images.end();
}

void Machine::TouchImage(const std::string& image) {
  if (image.empty()) return;
  auto it = std::find(images.begin(), images.end(), image);
  if (it != images.end()) images.erase(it);
  images.push_back(image);
}

void Machine::FinishFetch(const std::string& image) {
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
  for (const auto& [task, name] : job.progress.machine_of_task) {
    const auto machine = machines_.find(name);
    if (machine == machines_.end()) continue;
    const auto it = machine->second->attempts.find({job.id(), task});
    if (it != machine->second->attempts.end() && it->second.running_since > 0)
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
