#include "core/balance/move_budget.h"

namespace sorrelwood {
namespace {

constexpr double kMinuteS = 60;

}  // namespace

bool MoveBudget::IsBelowLimit(Times* times, int limit, double now) {
  while (!times->empty() && now - times->front() >= kMinuteS)
    times->pop_front();
  return times->size() < static_cast<size_t>(limit);
}

bool MoveBudget::Allows(const std::string& team, const std::string& job,
                        double now) {
  return IsBelowLimit(&all_, spread_.moves_per_minute, now) &&
         IsBelowLimit(&by_team_[team], spread_.team_moves_per_minute, now) &&
         IsBelowLimit(&by_job_[job], spread_.job_moves_per_minute, now);
}

void MoveBudget::RecordMove(const std::string& team, const std::string& job,
                            double now) {
  Prune(&by_team_, now);
  Prune(&by_job_, now);
  all_.push_back(now);
  by_team_[team].push_back(now);
  by_job_[job].push_back(now);
}

void MoveBudget::Prune(std::map<std::string, Times>* times_by_name,
                       double now) {
  for (auto entry = times_by_name->begin(); entry != times_by_name->end();) {
    const Times& times = entry->second;
    const bool expired = times.empty() || now - times.back() >= kMinuteS;
    entry = expired ? times_by_name->erase(entry) : std::next(entry);
  }
}

void MoveBudget::Clear() {
  all_.clear();
  by_team_.clear();
  by_job_.clear();
}

}  // namespace sorrelwood
