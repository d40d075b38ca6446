// What each team's placed tasks use, which quotas and guarantees are compared
// with.
#pragma once

#include <map>
#include <string>

namespace sorrelwood {

struct TeamUsage {
  double cpus = 0, gpus = 0;
};

class TeamUsageTable {
 public:
  // Nothing in use for a team that is not known.
  TeamUsage Of(const std::string& team) const {
    const auto it = usage_.find(team);
    return it == usage_.end() ? TeamUsage() : it->second;
  }
  // Negative amounts give back.
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
