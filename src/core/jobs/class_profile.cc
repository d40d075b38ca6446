#include "core/jobs/class_profile.h"

#include "base/constants/immediate_start_reserves.h"
#include "base/constants/services.h"

namespace sorrelwood {

void ClassProfileTable::Learn(const LiveJob& job) {
  const auto [entry, is_first_job] = profiles_.try_emplace(job.spec.job_class);
  ClassProfile& profile = entry->second;
  const double weight = is_first_job ? 1 : kClassProfileLearningRate;
  profile.tasks += (job.spec.tasks - profile.tasks) * weight;
  profile.spec = job.spec;
  profile.arrivals.push_back(job.submitted_wall_s);
  if (profile.arrivals.size() > kMaxArrivalsPerClass)
    profile.arrivals.pop_front();
}

const ClassProfile* ClassProfileTable::Find(
    const std::string& job_class) const {
  const auto profile = profiles_.find(job_class);
  return profile == profiles_.end() ? nullptr : &profile->second;
}

}  // namespace sorrelwood
