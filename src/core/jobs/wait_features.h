// The state of the cluster at a job's arrival, from which the wait predictor
// predicts the job's wait for owned capacity. The features are those of Table 1
// of "Good Things Come to Those Who Wait".
#pragma once

#include <array>
#include <cstddef>

namespace sorrelwood {

struct WaitFeatures {
  double cpu_utilisation = 0;     // of owned machines, 0 to 1
  double memory_utilisation = 0;  // of owned machines, 0 to 1
  double running = 0;             // attempts on owned machines, started or not
  double waiting = 0;             // pending tasks of all jobs
  double running_mean_cpus = 0;   // mean CPUs of these attempts
  double running_mean_age_s = 0;  // mean run time, 0 for one not started
  double waiting_mean_cpus = 0;   // mean CPUs of a pending task
  double waiting_mean_age_s = 0;  // mean time since the job's arrival
  double cpus = 0;                // CPUs that a task of the new job asks for
};

inline constexpr size_t kWaitFeatureCount = 9;

// The features in the order of WaitFeatures, as input of the regression trees.
using FeatureVector = std::array<double, kWaitFeatureCount>;

inline FeatureVector ToVector(const WaitFeatures& features) {
  return {features.cpu_utilisation,
          features.memory_utilisation,
          features.running,
          features.waiting,
          features.running_mean_cpus,
          features.running_mean_age_s,
          features.waiting_mean_cpus,
          features.waiting_mean_age_s,
          features.cpus};
}

}  // namespace sorrelwood
