#include "core/balance/machine_sets.h"

#include <algorithm>

#include "core/scheduling/eligibility.h"

namespace sorrelwood {

void MachineSets::Clear() {
  machines_.clear();
  numbers_.clear();
  by_place_.clear();
  by_image_.clear();
  all_ = Set();
}

void MachineSets::Add(Machine* machine) {
  const auto number = static_cast<uint32_t>(machines_.size());
  machines_.push_back(machine);
  numbers_[machine->name] = number;
  all_.add(number);
  by_place_[{machine->type, machine->zone, machine->spot}].add(number);
  for (const std::string& image : machine->images) by_image_[image].add(number);
}

void MachineSets::Remove(const Machine& machine) {
  const auto number = numbers_.find(machine.name);
  if (number != numbers_.end()) all_.remove(number->second);
}

MachineSets::Set MachineSets::AllowedFor(const JobSpec& spec) const {
  Set allowed;
  for (const auto& [place, machines] : by_place_)
    if (AllowsLocation(spec, *place.type, place.zone, place.spot))
      allowed |= machines;
  return allowed & all_;
}

MachineSets::Set MachineSets::WithImage(const Set& machines,
                                        const std::string& image) const {
  const auto holders = by_image_.find(image);
  return holders == by_image_.end() ? Set() : machines & holders->second;
}

std::vector<Machine*> MachineSets::Draw(const Set& machines, size_t count,
                                        std::mt19937_64* random) const {
  std::vector<Machine*> drawn;
  Set left = machines;
  while (drawn.size() < count && !left.isEmpty()) {
    std::uniform_int_distribution<uint64_t> ranks(0, left.cardinality() - 1);
    uint32_t number = 0;
    if (!left.select(static_cast<uint32_t>(ranks(*random)), &number)) break;
    left.remove(number);
    drawn.push_back(machines_[number]);
  }
  return drawn;
}

}  // namespace sorrelwood
