#include "core/jobs/run_time_estimator.h"

#include <algorithm>

#include "base/constants/run_time_estimates.h"

namespace sorrelwood {

double RunTimeEstimator::OwnersEstimate(const JobSpec& spec) {
  return std::max(kMinEstimateS, spec.estimate_s);
}

double RunTimeEstimator::Estimate(const JobSpec& spec) const {
  if (spec.IsService()) return kServiceEstimateS;
  const auto learnt = corrections_.find(spec.job_class);
  const double correction = learnt == corrections_.end() ? 1.0 : learnt->second;
  return OwnersEstimate(spec) * correction;
}

void RunTimeEstimator::Learn(const JobSpec& spec, double ran_s) {
  const double ratio =
      std::clamp(ran_s / OwnersEstimate(spec), 1 / kMaxEstimateCorrectionRatio,
                 kMaxEstimateCorrectionRatio);
  double& correction =
      corrections_.try_emplace(spec.job_class, 1.0).first->second;
  correction += (ratio - correction) * kEstimateLearningRate;
}

}  // namespace sorrelwood
