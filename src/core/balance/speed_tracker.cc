#include "core/balance/speed_tracker.h"

#include "base/constants.h"

namespace sorrelwood {

void SpeedTracker::Learn(const std::string& job, const std::string& machine,
                         double ran_s) {
  JobTimes& times = jobs_[job];
  const bool comparable =
      times.tasks >= kMinTasksForMeanRun && times.mean_s >= kMinMeanRunS;
  if (comparable) {
    MachineRatio& ratio = machines_[machine];
    const double weight = ratio.samples == 0 ? 1 : kSpeedLearningRate;
    ratio.smoothed += (ran_s / times.mean_s - ratio.smoothed) * weight;
    ++ratio.samples;
    // Guards against a job whose tasks run mostly on a slow machine.
    if (ran_s >= times.mean_s * kSlowMachineRatio) return;
  }
  ++times.tasks;
  times.mean_s += (ran_s - times.mean_s) / static_cast<double>(times.tasks);
}

bool SpeedTracker::IsSlow(const std::string& machine) const {
  const auto ratio = machines_.find(machine);
  return ratio != machines_.end() &&
         ratio->second.samples >= kMinSpeedSamples &&
         ratio->second.smoothed >= kSlowMachineRatio;
}

void SpeedTracker::Clear() {
  jobs_.clear();
  machines_.clear();
}

}  // namespace sorrelwood
