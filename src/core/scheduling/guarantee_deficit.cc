#include "core/scheduling/guarantee_deficit.h"

#include <algorithm>

namespace sorrelwood {

std::vector<const Job*> GuaranteeDeficit::FindJobsInDeficit(
    const std::vector<Job*>& jobs) const {
  std::vector<const Job*> in_deficit;
  for (const Job* job : jobs)
    if (admission_->InGuaranteePass(*job) && admission_->WithinQuota(*job) &&
        admission_->NextRunnableTask(*job, CapacityClass::kAny))
      in_deficit.push_back(job);
  return in_deficit;
}

bool GuaranteeDeficit::FitsWhenEmpty(const Job& job,
                                     const Machine& machine) const {
  const JobSpec& spec = job.spec();
  return machine.type && eligibility_->IsEligible(job, machine) &&
         spec.cpus <= machine.type->cpus && spec.gpus <= machine.type->gpus &&
         spec.memory_gb <= machine.type->memory_gb;
}

bool GuaranteeDeficit::IsWithheldFrom(
    const Job& job, const Machine& machine,
    const std::vector<const Job*>& in_deficit) const {
  if (in_deficit.empty() || !machine.type || admission_->InGuaranteePass(job) ||
      jobs_->EstimateRunTime(job.spec()) <= machine.type->boot_s)
    return false;
  return std::any_of(
      in_deficit.begin(), in_deficit.end(), [&](const Job* deficit_job) {
        return deficit_job != &job && FitsWhenEmpty(*deficit_job, machine);
      });
}

}  // namespace sorrelwood
