// Rate limits for moves: a number per minute in total, per team and per job.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "core/model/spread_settings.h"

namespace sorrelwood {

class MoveBudget {
 public:
  explicit MoveBudget(const SpreadSettings& spread) : spread_(spread) {}

  // Whether one more move may start now.
  bool Allows(const std::string& team, const std::string& job, double now);
  // Counts a move that starts now.
  void RecordMove(const std::string& team, const std::string& job, double now);
  void Clear();

 private:
  // Start times of the moves of the last minute, oldest first.
  using Times = std::deque<double>;
  // Whether one more move stays within `limit`. Drops times that are too old.
  static bool IsBelowLimit(Times* times, int limit, double now);
  // Removes teams and jobs without a move in the last minute.
  static void Prune(std::map<std::string, Times>* times_by_name, double now);

  SpreadSettings spread_;
  Times all_;
  std::map<std::string, Times> by_team_, by_job_;
};

}  // namespace sorrelwood
