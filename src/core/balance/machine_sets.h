// Compressed sets of machines that tasks may move to. The candidates for a task
// are an intersection of the machines with room, those that its job allows and
// those that hold its image, so a move costs a few set operations and samples
// instead of an iteration over all machines.
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

  void Clear();
  // Adds a possible target of moves. The pointer must stay valid until Clear.
  void Add(Machine* machine);
  // Excludes the machine from the targets of moves.
  void Remove(const Machine& machine);

  // Returns the machines whose type, zone and spot flag the job allows.
  Set AllowedFor(const JobSpec& spec) const;
  // Returns those of `machines` that are known to hold the image.
  Set WithImage(const Set& machines, const std::string& image) const;
  // Returns up to `count` of `machines`, sampled without replacement.
  std::vector<Machine*> Sample(const Set& machines, size_t count,
                               std::mt19937_64* random) const;
  bool empty() const { return all_.isEmpty(); }

 private:
  // Machines of the same type, zone and spot flag.
  struct Group {
    const MachineType* type;
    std::string zone;
    bool spot;
    bool operator<(const Group& other) const {
      return std::tie(type->name, zone, spot) <
             std::tie(other.type->name, other.zone, other.spot);
    }
  };

  std::vector<Machine*> machines_;  // indexed by the numbers in the sets
  std::map<std::string, uint32_t> number_by_name_;
  std::map<Group, Set> by_group_;
  std::map<std::string, Set> by_image_;
  Set all_;
};

}  // namespace sorrelwood
