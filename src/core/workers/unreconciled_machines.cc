#include "core/workers/unreconciled_machines.h"

#include <memory>

#include "base/constants/workers.h"

namespace sorrelwood {

void UnreconciledMachines::RemoveContribution(const std::string& name) {
  const auto removed = contributions_.find(name);
  if (removed == contributions_.end()) return;
  machines_from_earlier_term_ -= removed->second.from_earlier_term ? 1 : 0;
  cpus_ -= removed->second.cpus;
  gpus_ -= removed->second.gpus;
  contributions_.erase(removed);
  // Discards accumulated rounding errors.
  if (contributions_.empty()) cpus_ = gpus_ = 0;
}

void UnreconciledMachines::Update(const Machine& machine) {
  RemoveContribution(machine.name);
  if (!machine.lifecycle.from_earlier_term &&
      !with_unknown_tasks_.count(machine.name))
    return;
  Contribution contribution;
  contribution.from_earlier_term = machine.lifecycle.from_earlier_term;
  contribution.cpus = machine.type ? machine.type->cpus : kUnknownTypeCapacity;
  contribution.gpus = machine.type ? machine.type->gpus : kUnknownTypeCapacity;
  machines_from_earlier_term_ += contribution.from_earlier_term ? 1 : 0;
  cpus_ += contribution.cpus;
  gpus_ += contribution.gpus;
  contributions_[machine.name] = contribution;
}

void UnreconciledMachines::Recount(
    const std::map<std::string, std::unique_ptr<Machine>>& machines) {
  contributions_.clear();
  machines_from_earlier_term_ = 0;
  cpus_ = gpus_ = 0;
  for (const auto& [name, machine] : machines) Update(*machine);
}

void UnreconciledMachines::Clear() {
  contributions_.clear();
  with_unknown_tasks_.clear();
  machines_from_earlier_term_ = 0;
  cpus_ = gpus_ = 0;
}

void UnreconciledMachines::AddUnknownTask(const Machine& machine) {
  with_unknown_tasks_.insert(machine.name);
  Update(machine);
}

void UnreconciledMachines::ForgetUnknownTasks(const Machine& machine) {
  if (with_unknown_tasks_.erase(machine.name) > 0) Update(machine);
}

void UnreconciledMachines::ReserveCapacityIn(Placement* placement) const {
  placement->admission().set_unreconciled(machines_from_earlier_term_, cpus_,
                                          gpus_);
}

}  // namespace sorrelwood
