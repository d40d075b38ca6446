// How many moves may begin: so many a minute in all, for each team and for each
// job.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "core/model/spread_settings.h"

namespace sorrelwood {

class MoveBudget {
 public:
  explicit MoveBudget(const SpreadSettings& spread) : spread_(spread) {}

  // Whether one more move may begin now.
  bool Allows(const std::string& team, const std::string& job, double now);
  // One has begun.
  void Spend(const std::string& team, const std::string& job, double now);
  void Clear();

 private:
  // The times of the moves of the last minute, the oldest first.
  using Times = std::deque<double>;
  static bool Allows(Times* times, int most, double now);
  // Forgets teams and jobs without a move in the last minute.
  static void Prune(std::map<std::string, Times>* all, double now);

  SpreadSettings spread_;
  Times fleet_;
  std::map<std::string, Times> teams_, jobs_;
};

}  // namespace sorrelwood
