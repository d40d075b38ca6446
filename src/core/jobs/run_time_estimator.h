// Predicts how long a task runs: the owner's estimate, corrected by how far the
// estimates of the job's class have been off.
#pragma once

#include <map>
#include <string>

#include "core/model/job.h"

namespace sorrelwood {

class RunTimeEstimator {
 public:
  // The expected run time of a task of the job (s). A service, which runs until
  // it is cancelled, counts kServiceEstimateS.
  double Estimate(const JobSpec& spec) const;
  // A task of the job completed after `ran_s` seconds without interruption.
  void Learn(const JobSpec& spec, double ran_s);

 private:
  // The owner's estimate (s), at least kMinEstimateS: prevents a division by
  // an estimate of zero.
  static double OwnersEstimate(const JobSpec& spec);

  // Smoothed ratio of the run time to the owner's estimate, by class.
  std::map<std::string, double> correction_;
};

}  // namespace sorrelwood
