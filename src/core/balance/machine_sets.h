// Compressed sets of machines: where tasks may move to is an intersection of
// what a job allows, what holds its image and what has room, so that a move
// costs a few set operations and samples instead of a look at all machines.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <roaring/roaring.hh>
#include <string>
#include <tuple>
#include <vector>

#include "core/machines/machine_table.h"
#include "core/model/job.h"
#include "core/model/machine_type.h"

namespace sorrelwood {

class MachineSets {
 public:
  using Set = Roaring;

  // Starts anew without any machine.
  void Clear();
  // A machine that tasks may move to. Its pointer must stay valid until Clear.
  void Add(Machine* machine);
  // It takes no more tasks.
  void Remove(const Machine& machine);

  // The machines whose type, zone and kind the job allows.
  Set AllowedFor(const JobSpec& spec) const;
  // Of them, those that hold the job's image, as far as the leader knows.
  Set WithImage(const Set& machines, const std::string& image) const;
  // Up to `count` of them, drawn without repetition.
  std::vector<Machine*> Draw(const Set& machines, size_t count,
                             std::mt19937_64* random) const;
  bool empty() const { return all_.isEmpty(); }

 private:
  struct Place {
    const MachineType* type;
    std::string zone;
    bool spot;
    bool operator<(const Place& other) const {
      return std::tie(type->name, zone, spot) <
             std::tie(other.type->name, other.zone, other.spot);
    }
  };

  std::vector<Machine*> machines_;  // by number in the sets
  std::map<std::string, uint32_t> numbers_;
  std::map<Place, Set> by_place_;
  std::map<std::string, Set> by_image_;
  Set all_;
};

}  // namespace sorrelwood
