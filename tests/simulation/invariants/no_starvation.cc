#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "simulation/invariants/invariant_checker.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

// Within so long a large job should have started (s).
constexpr double kMaxStartDelayS = 240;

struct Group {
  int jobs = 0, started = 0;
};
using JobsByClass = std::map<std::string, std::vector<const ClientJob*>>;

// The largest quarter of the jobs, at least one.
std::vector<const ClientJob*> Largest(std::vector<const ClientJob*> jobs) {
  std::sort(jobs.begin(), jobs.end(),
            [](const ClientJob* left, const ClientJob* right) {
              return left->spec.tasks > right->spec.tasks;
            });
  jobs.resize((jobs.size() + 3) / 4);
  return jobs;
}

void CountLargestJobs(const JobsByClass& classes,
                      std::map<std::string, Group>& groups) {
  for (const auto& [name, jobs] : classes) {
    for (const ClientJob* job : Largest(jobs)) {
      Group& group = groups["the largest of class " + name];
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
  std::map<std::string, Group> groups;
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
      cluster.ReportViolation("starved: of " + name + " " +
                              std::to_string(group.started) + " jobs of " +
                              std::to_string(group.jobs) + " are served");
}

}  // namespace sorrelwood::test
