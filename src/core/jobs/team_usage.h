// Capacity used by the tasks of each team that are on machines. Quotas and
// guarantees are checked against it.
#pragma once

#include <map>
#include <string>

namespace sorrelwood {

struct TeamUsage {
  double cpus = 0, gpus = 0;
};

class TeamUsageTable {
 public:
  // Returns 0 usage for an unknown team.
  TeamUsage UsageOf(const std::string& team) const {
    const auto usage = usage_.find(team);
    return usage == usage_.end() ? TeamUsage() : usage->second;
  }
  // Negative amounts reduce the usage.
  void Add(const std::string& team, double cpus, double gpus) {
    TeamUsage& usage = usage_[team];
    usage.cpus += cpus;
    usage.gpus += gpus;
  }
  void Clear() { usage_.clear(); }

 private:
  std::map<std::string, TeamUsage> usage_;
};

}  // namespace sorrelwood
