#include "core/machines/machine_table.h"

#include "core/jobs/job_table.h"

namespace sorrelwood {

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
