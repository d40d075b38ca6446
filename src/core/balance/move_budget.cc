#include "core/balance/move_budget.h"

namespace sorrelwood {
namespace {

constexpr double kMinuteS = 60;

}  // namespace

bool MoveBudget::Allows(Times* times, int most, double now) {
  while (!times->empty() && now - times->front() >= kMinuteS)
    times->pop_front();
  return times->size() < static_cast<size_t>(most);
}

bool MoveBudget::Allows(const std::string& team, const std::string& job,
                        double now) {
  return Allows(&fleet_, spread_.moves_per_minute, now) &&
         Allows(&teams_[team], spread_.team_moves_per_minute, now) &&
         Allows(&jobs_[job], spread_.job_moves_per_minute, now);
}

void MoveBudget::Spend(const std::string& team, const std::string& job,
                       double now) {
  Prune(&teams_, now);
  Prune(&jobs_, now);
  fleet_.push_back(now);
  teams_[team].push_back(now);
  jobs_[job].push_back(now);
}

void MoveBudget::Prune(std::map<std::string, Times>* all, double now) {
  for (auto it = all->begin(); it != all->end();) {
    const bool old = it->second.empty() || now - it->second.back() >= kMinuteS;
    it = old ? all->erase(it) : std::next(it);
  }
}

void MoveBudget::Clear() {
  fleet_.clear();
  teams_.clear();
  jobs_.clear();
}

}  // namespace sorrelwood
