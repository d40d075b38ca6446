#include "core/workers/unreconciled_machines.h"

#include <memory>

#include "base/constants.h"

namespace sorrelwood {

void UnreconciledMachines::Remove(const std::string& name) {
  const auto it = shares_.find(name);
  if (it == shares_.end()) return;
  from_earlier_term_ -= it->second.from_earlier_term ? 1 : 0;
  cpus_ -= it->second.cpus;
  gpus_ -= it->second.gpus;
  shares_.erase(it);
  // Rounding errors are not carried over.
  if (shares_.empty()) cpus_ = gpus_ = 0;
}

void UnreconciledMachines::Update(const Machine& machine) {
  Remove(machine.name);
  if (!machine.lifecycle.from_earlier_term &&
      !with_unknown_tasks_.count(machine.name))
    return;
  Share share;
  share.from_earlier_term = machine.lifecycle.from_earlier_term;
  share.cpus = machine.type ? machine.type->cpus : kUnknownTypeCapacity;
  share.gpus = machine.type ? machine.type->gpus : kUnknownTypeCapacity;
  from_earlier_term_ += share.from_earlier_term ? 1 : 0;
  cpus_ += share.cpus;
  gpus_ += share.gpus;
  shares_[machine.name] = share;
}

void UnreconciledMachines::Recount(
    const std::map<std::string, std::unique_ptr<Machine>>& machines) {
  shares_.clear();
  from_earlier_term_ = 0;
  cpus_ = gpus_ = 0;
  for (const auto& [name, machine] : machines) Update(*machine);
}

void UnreconciledMachines::Clear() {
  shares_.clear();
  with_unknown_tasks_.clear();
  from_earlier_term_ = 0;
  cpus_ = gpus_ = 0;
}

void UnreconciledMachines::AddUnknownTask(const Machine& machine) {
  with_unknown_tasks_.insert(machine.name);
  Update(machine);
}

void UnreconciledMachines::ForgetUnknownTasks(const Machine& machine) {
  if (with_unknown_tasks_.erase(machine.name) > 0) Update(machine);
}

void UnreconciledMachines::ReserveIn(Placement* placement) const {
  placement->admission().set_unreconciled(from_earlier_term_, cpus_, gpus_);
}

}  // namespace sorrelwood
