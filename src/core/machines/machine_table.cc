#include "core/machines/machine_table.h"

#include "core/jobs/job_table.h"

namespace sorrelwood {

Machine* MachineTable::Find(const std::string& name) {
  const auto entry = machines_.find(name);
  return entry == machines_.end() ? nullptr : entry->second.get();
}

Machine* MachineTable::Add(const std::string& name) {
  auto& machine = machines_[name];
  if (!machine) {
    machine = std::make_unique<Machine>();
    machine->name = name;
  }
  return machine.get();
}

size_t MachineTable::CountRunningReplicas(const Job& job) const {
  size_t running = 0;
  for (const auto& [task, name] : job.progress.machine_of_task) {
    const auto machine = machines_.find(name);
    if (machine == machines_.end()) continue;
    const auto attempt = machine->second->attempts.find({job.id(), task});
    if (attempt != machine->second->attempts.end() &&
        attempt->second.running_since > 0)
      ++running;
  }
  return running;
}

void MachineTable::Remove(const std::string& name) {
  machines_.erase(name);
  removed_.insert(name);
}

void MachineTable::Clear() {
  machines_.clear();
  removed_.clear();
}

}  // namespace sorrelwood
