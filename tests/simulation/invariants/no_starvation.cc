#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "simulation/invariants/invariant_checker.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

// Time within which a large job should have started (s).
constexpr double kMaxStartDelayS = 240;

struct JobGroup {
  int jobs = 0, started = 0;
};
using JobsByClass = std::map<std::string, std::vector<const ClientJob*>>;

// The largest quarter of the jobs, at least one.
std::vector<const ClientJob*> LargestQuarter(
    std::vector<const ClientJob*> jobs) {
  std::sort(jobs.begin(), jobs.end(),
            [](const ClientJob* left, const ClientJob* right) {
              return left->spec.tasks > right->spec.tasks;
            });
  jobs.resize((jobs.size() + 3) / 4);
  return jobs;
}

void CountLargestJobs(const JobsByClass& classes,
                      std::map<std::string, JobGroup>& groups) {
  for (const auto& [name, jobs] : classes) {
    for (const ClientJob* job : LargestQuarter(jobs)) {
      JobGroup& group = groups["the largest of class " + name];
      ++group.jobs;
      if (job->first_start_s > 0 &&
          job->first_start_s - job->accepted_s < kMaxStartDelayS)
        ++group.started;
    }
  }
}

}  // namespace

void CheckNoGroupIsStarved(SimulatedCluster& cluster) {
  if (cluster.NetworkIsUnusable()) return;
  std::map<std::string, JobGroup> groups;
  JobsByClass classes;
  for (const auto& [id, job] : cluster.clients().all()) {
    if (!job->accepted || job->cancel_requested) continue;
    for (const std::string& name :
         {"class " + job->spec.job_class, "team " + job->spec.team}) {
      ++groups[name].jobs;
      if (job->first_start_s > 0) ++groups[name].started;
    }
    classes[job->spec.job_class].push_back(job.get());
  }
  CountLargestJobs(classes, groups);
  for (const auto& [name, group] : groups)
    if (group.started * 2 < group.jobs)
      cluster.ReportViolation(
          "starvation: of " + name + " only " + std::to_string(group.started) +
          " of " + std::to_string(group.jobs) + " jobs started in time");
}

}  // namespace sorrelwood::test
