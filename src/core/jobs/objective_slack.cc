#include "core/jobs/objective_slack.h"

#include <algorithm>

namespace sorrelwood {
namespace {

// Slack (s) below that of any missed objective.
constexpr double kLeastSlackS = -1e9;

// Combines the slack of several objectives: the least slack of the attainable
// objectives counts or, if there are none, the slack of the latest missed one.
class SlackOfObjectives {
 public:
  explicit SlackOfObjectives(double max_slack_s)
      : least_attainable_s_(max_slack_s) {}

  void Add(double slack_s) {
    has_objective_ = true;
    if (slack_s < 0) {
      latest_missed_s_ = std::max(latest_missed_s_, slack_s);
    } else {
      least_attainable_s_ = std::min(least_attainable_s_, slack_s);
      has_attainable_ = true;
    }
  }
  double slack_s() const {
    return has_objective_ && !has_attainable_ ? latest_missed_s_
                                              : least_attainable_s_;
  }

 private:
  double least_attainable_s_;
  double latest_missed_s_ = kLeastSlackS;
  bool has_objective_ = false, has_attainable_ = false;
};

}  // namespace

double ComputeObjectiveSlack(const Job& job,
                             const std::vector<Objective>& objectives,
                             double estimate_s, double wall_s,
                             double without_objective_s) {
  const JobSpec& spec = job.spec();
  const double age_s = job.AgeAt(wall_s);
  SlackOfObjectives slack(without_objective_s);
  if (spec.deadline_s) slack.Add(*spec.deadline_s - age_s - estimate_s);
  for (const Objective& objective : objectives) {
    if (objective.job_class != spec.job_class) continue;
    if (objective.kind == "deadline" && spec.deadline_s &&
        objective.deadline_factor > 1)
      slack.Add(*spec.deadline_s * objective.deadline_factor - age_s -
                estimate_s);
    if (objective.within_s <= 0) continue;
    if (objective.kind == "wait") slack.Add(objective.within_s - age_s);
    if (objective.kind == "finished")
      slack.Add(objective.within_s - age_s - estimate_s);
  }
  return slack.slack_s();
}

}  // namespace sorrelwood
