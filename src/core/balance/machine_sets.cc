#include "core/balance/machine_sets.h"

#include <algorithm>

#include "core/scheduling/eligibility.h"

namespace sorrelwood {

void MachineSets::Clear() {
  machines_.clear();
  number_by_name_.clear();
  by_group_.clear();
  by_image_.clear();
  all_ = Set();
}

void MachineSets::Add(Machine* machine) {
  const auto number = static_cast<uint32_t>(machines_.size());
  machines_.push_back(machine);
  number_by_name_[machine->name] = number;
  all_.add(number);
  by_group_[{machine->type, machine->zone, machine->spot}].add(number);
  for (const std::string& image : machine->images) by_image_[image].add(number);
}

void MachineSets::Remove(const Machine& machine) {
  const auto number = number_by_name_.find(machine.name);
  if (number != number_by_name_.end()) all_.remove(number->second);
}

MachineSets::Set MachineSets::AllowedFor(const JobSpec& spec) const {
  Set allowed;
  for (const auto& [group, machines] : by_group_)
    if (AllowsLocation(spec, *group.type, group.zone, group.spot))
      allowed |= machines;
  return allowed & all_;
}

MachineSets::Set MachineSets::WithImage(const Set& machines,
                                        const std::string& image) const {
  const auto with_image = by_image_.find(image);
  return with_image == by_image_.end() ? Set() : machines & with_image->second;
}

std::vector<Machine*> MachineSets::Sample(const Set& machines, size_t count,
                                          std::mt19937_64* random) const {
  std::vector<Machine*> sampled;
  Set remaining = machines;
  while (sampled.size() < count && !remaining.isEmpty()) {
    std::uniform_int_distribution<uint64_t> ranks(0,
                                                  remaining.cardinality() - 1);
    uint32_t number = 0;
    if (!remaining.select(static_cast<uint32_t>(ranks(*random)), &number))
      break;
    remaining.remove(number);
    sampled.push_back(machines_[number]);
  }
  return sampled;
}

}  // namespace sorrelwood
