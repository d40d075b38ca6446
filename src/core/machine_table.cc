#include "core/machine_table.h"

#include <algorithm>

#include "core/job_table.h"

namespace sorrelwood {

void Machine::Hold(const TaskKey& key, Placed placed) {
  cpus_used += placed.cpus;
  gpus_used += placed.gpus;
  memory_used += placed.memory_gb;
  idle_since = 0;
  tasks[key] = std::move(placed);
}

Placed Machine::Drop(std::map<TaskKey, Placed>::iterator it) {
  Placed placed = std::move(it->second);
  tasks.erase(it);
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
