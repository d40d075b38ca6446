// The state of the cluster when a job arrives, from which its wait for owned
// capacity is predicted (Table 1 of "Good Things Come to Those Who Wait").
#pragma once

#include <array>
#include <cstddef>

namespace sorrelwood {

struct WaitFeatures {
  double cpu_utilisation = 0;     // of owned machines, 0 to 1
  double memory_utilisation = 0;  // of owned machines, 0 to 1
  double running = 0;             // tasks on owned machines
  double waiting = 0;             // pending tasks of all jobs
  double running_mean_cpus = 0;   // CPUs of a running task
  double running_mean_age_s = 0;  // since a running task started
  double waiting_mean_cpus = 0;   // CPUs of a pending task
  double waiting_mean_age_s = 0;  // since a pending task's job arrived
  double cpus = 0;                // that a task of the new job asks for
};

inline constexpr size_t kWaitFeatureCount = 9;

// The features in the order of WaitFeatures, as the regression trees take them.
using FeatureVector = std::array<double, kWaitFeatureCount>;

inline FeatureVector ToVector(const WaitFeatures& f) {
  return {f.cpu_utilisation,   f.memory_utilisation, f.running,
          f.waiting,           f.running_mean_cpus,  f.running_mean_age_s,
          f.waiting_mean_cpus, f.waiting_mean_age_s, f.cpus};
}

}  // namespace sorrelwood
