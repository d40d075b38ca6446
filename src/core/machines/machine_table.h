// The machines of the fleet by name, and the names of removed machines.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/machines/machine.h"

namespace sorrelwood {

struct Job;

// A pointer to a machine stays valid until the machine is removed.
class MachineTable {
 public:
  // Null if there is no machine of this name.
  Machine* Find(const std::string& name);
  // Returns the machine of this name, and adds it if it does not exist.
  Machine* Add(const std::string& name);
  // Removes the machine and remembers its name: see WasRemoved.
  void Remove(const std::string& name);
  // Removes all machines, and forgets the names of removed ones.
  void Clear();
  // In the order of names.
  std::map<std::string, std::unique_ptr<Machine>>& all() { return machines_; }

  // The number of the service's replicas that are reported to be running.
  size_t CountRunningReplicas(const Job& job) const;

  // Whether the machine was removed in this term. Guards against delayed
  // heartbeats and outdated inventories, which would add it again.
  bool WasRemoved(const std::string& name) const {
    return removed_.count(name) > 0;
  }

 private:
  std::map<std::string, std::unique_ptr<Machine>> machines_;
  std::set<std::string> removed_;
};

}  // namespace sorrelwood
