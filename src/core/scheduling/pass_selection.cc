#include "core/scheduling/pass_selection.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string_view>

#include "base/constants/placement.h"

namespace sorrelwood {

std::vector<Job*> SelectJobs(Context* context, JobTable* jobs,
                             const ClusterSettings& settings,
                             Admission* admission) {
  admission->ReserveQuotaForServices();
  std::vector<Job*> selected;
  // The minimum per team prevents a team with a large backlog from filling the
  // selection and exceeding its guarantee while another team can't use its own.
  std::map<std::string_view, size_t> selected_by_team;
  size_t complete_teams = 0;
  for (Job* job : jobs->queue()) {
    ++context->items_examined;
    size_t& selected_of_team = selected_by_team[job->spec().team];
    if (selected.size() >= kJobsPerPass &&
        selected_of_team >= kMinJobsPerTeamPerPass)
      continue;
    if (!admission->MayStartTask(*job) || !admission->WithinQuota(*job))
      continue;
    selected.push_back(job);
    if (++selected_of_team == kMinJobsPerTeamPerPass) ++complete_teams;
    if (selected.size() >= kJobsPerPass &&
        complete_teams >= settings.teams.size())
      break;
  }
  return selected;
}

void SampleMachines(Context* context, const std::vector<Job*>& jobs,
                    std::vector<Machine*>* candidates) {
  if (candidates->size() <= kSampleMachines) return;
  std::shuffle(candidates->begin(), candidates->end(), context->rng);
  const auto first_jobs_end =
      jobs.begin() +
      static_cast<ptrdiff_t>(std::min(jobs.size(), kSampleImageJobs));
  std::stable_partition(
      candidates->begin(), candidates->end(), [&](const Machine* machine) {
        return machine->role.baseline ||
               std::any_of(jobs.begin(), first_jobs_end, [&](const Job* job) {
                 return machine->HasImage(job->spec().image);
               });
      });
  candidates->resize(kSampleMachines);
}

}  // namespace sorrelwood
