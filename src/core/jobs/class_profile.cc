#include "core/jobs/class_profile.h"

#include "base/constants.h"

namespace sorrelwood {

void ClassProfileTable::Learn(const LiveJob& job) {
  const auto [it, first] = profiles_.try_emplace(job.spec.job_class);
  ClassProfile& profile = it->second;
  const double weight = first ? 1 : kClassProfileLearningRate;
  profile.tasks += (job.spec.tasks - profile.tasks) * weight;
  profile.spec = job.spec;
  profile.arrivals.push_back(job.submitted_wall_s);
  if (profile.arrivals.size() > kMaxArrivalsPerClass) profile.arrivals.pop_front();
}

const ClassProfile* ClassProfileTable::Find(
    const std::string& job_class) const {
  const auto it = profiles_.find(job_class);
  return it == profiles_.end() ? nullptr : &it->second;
}

}  // namespace sorrelwood
