// Predicts the run time of tasks: the owner's estimate times a correction
// learnt from completed tasks of the same job class.
#pragma once

#include <map>
#include <string>

#include "core/model/job.h"

namespace sorrelwood {

class RunTimeEstimator {
 public:
  // Returns the expected run time of a task (s); kServiceEstimateS for a
  // service, which runs until it is cancelled.
  double Estimate(const JobSpec& spec) const;
  // Learns from a task that completed after running for `ran_s` without
  // interruption.
  void Learn(const JobSpec& spec, double ran_s);

 private:
  // Returns the owner's estimate (s), at least kMinEstimateS to avoid a
  // division by zero.
  static double OwnersEstimate(const JobSpec& spec);

  // Smoothed ratio of the run time to the owner's estimate, by class.
  std::map<std::string, double> corrections_;
};

}  // namespace sorrelwood
