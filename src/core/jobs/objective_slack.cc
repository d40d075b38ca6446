#include "core/jobs/objective_slack.h"

#include <algorithm>

namespace sorrelwood {
namespace {

// Earlier than any objective can have been missed (s).
constexpr double kLongAgoS = -1e9;

// The least slack of the objectives that can be met, and the latest of those
// that are missed.
class SlackOfObjectives {
 public:
  explicit SlackOfObjectives(double most) : next_s_(most) {}

  void Add(double slack_s) {
    any_ = true;
    if (slack_s < 0) {
      missed_s_ = std::max(missed_s_, slack_s);
    } else {
      next_s_ = std::min(next_s_, slack_s);
      any_can_be_met_ = true;
    }
  }
  double Result() const {
    return any_ && !any_can_be_met_ ? missed_s_ : next_s_;
  }

 private:
  double next_s_;
  double missed_s_ = kLongAgoS;
  bool any_ = false, any_can_be_met_ = false;
};

}  // namespace

double ObjectiveSlack(const Job& job, const std::vector<Objective>& objectives,
                      double estimate_s, double wall,
                      double without_objective_s) {
  const JobSpec& spec = job.spec();
  const double age = job.Age(wall);
  SlackOfObjectives slack(without_objective_s);
  if (spec.deadline_s) slack.Add(*spec.deadline_s - age - estimate_s);
  for (const Objective& objective : objectives) {
    if (objective.job_class != spec.job_class) continue;
    if (objective.kind == "deadline" && spec.deadline_s &&
        objective.deadline_factor > 1)
      slack.Add(*spec.deadline_s * objective.deadline_factor - age -
                estimate_s);
    if (objective.within_s <= 0) continue;
    if (objective.kind == "wait") slack.Add(objective.within_s - age);
    if (objective.kind == "finished")
      slack.Add(objective.within_s - age - estimate_s);
  }
  return slack.Result();
}

}  // namespace sorrelwood
