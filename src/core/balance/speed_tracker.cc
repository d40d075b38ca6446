#include "core/balance/speed_tracker.h"

#include "base/constants/load_spread.h"

namespace sorrelwood {

void SpeedTracker::LearnRunTime(const std::string& job,
                                const std::string& machine, double ran_s) {
  JobTimes& times = times_by_job_[job];
  const bool comparable =
      times.tasks >= kMinTasksForMeanRun && times.mean_s >= kMinMeanRunS;
  if (comparable) {
    MachineRatio& ratio = ratio_by_machine_[machine];
    const double weight = ratio.samples == 0 ? 1 : kSpeedLearningRate;
    ratio.smoothed += (ran_s / times.mean_s - ratio.smoothed) * weight;
    ++ratio.samples;
    // Slow runs stay out of the mean: otherwise a job whose tasks run mostly on
    // a slow machine would make that machine look normal.
    if (ran_s >= times.mean_s * kSlowMachineRatio) return;
  }
  ++times.tasks;
  times.mean_s += (ran_s - times.mean_s) / static_cast<double>(times.tasks);
}

bool SpeedTracker::IsSlow(const std::string& machine) const {
  const auto ratio = ratio_by_machine_.find(machine);
  return ratio != ratio_by_machine_.end() &&
         ratio->second.samples >= kMinSpeedSamples &&
         ratio->second.smoothed >= kSlowMachineRatio;
}

void SpeedTracker::Clear() {
  times_by_job_.clear();
  ratio_by_machine_.clear();
}

}  // namespace sorrelwood
