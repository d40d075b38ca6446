// The machines of the fleet by name, and the names of those that are gone.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/machines/machine.h"

namespace sorrelwood {

struct Job;

// Pointers to machines stay valid until the machine is removed.
class MachineTable {
 public:
  // Null where there is no machine of that name.
  Machine* Find(const std::string& name);
  // The machine of that name; a new one where there is none.
  Machine* Add(const std::string& name);
  // Removes the machine and remembers its name: see IsGone.
  void Remove(const std::string& name);
  // Forgets all machines, also those that are gone.
  void Clear();
  // In the order of names.
  std::map<std::string, std::unique_ptr<Machine>>& all() { return machines_; }

  // How many replicas of the service are reported to be running.
  size_t RunningReplicas(const Job& job) const;

  // Whether the machine was removed in this term. Guards against delayed
  // heartbeats and outdated inventory entries that would bring it back.
  bool IsGone(const std::string& name) const { return gone_.count(name) > 0; }

 private:
  std::map<std::string, std::unique_ptr<Machine>> machines_;
  std::set<std::string> gone_;
};

}  // namespace sorrelwood
