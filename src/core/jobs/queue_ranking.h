// Computes the queue positions of all jobs from guarantees, objectives,
// backlogs and sizes. QueueOrder compares them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/jobs/job.h"
#include "core/jobs/run_time_estimator.h"
#include "core/jobs/team_usage.h"
#include "core/model/settings.h"

namespace sorrelwood {

// Its state belongs to one ranking: Rank may be called once.
class QueueRanking {
 public:
  // `settings` and `run_times` must outlive this object; `wall_s` is the
  // current wall time.
  QueueRanking(const ClusterSettings& settings,
               const RunTimeEstimator& run_times, double wall_s)
      : settings_(settings), run_times_(run_times), wall_s_(wall_s) {}

  // Sets the queue positions of all jobs. `by_arrival` must be in the order of
  // arrival: earlier jobs use up their team's guarantee first.
  void Rank(const std::vector<Job*>& by_arrival);

 private:
  void AddServiceCpus(const std::vector<Job*>& by_arrival);
  void RankJob(Job* job);
  // Returns the number of tasks that are not done; 1 while the job is failing.
  static double CountTasksLeft(const Job& job);
  // Adds the tasks left of the job to the capacity that its team requests. True
  // if the team's requests up to and including this job fit into its guarantee.
  bool ClaimGuarantee(const Job& job, const Team* team);
  void AddToBacklog(const Job& job, const Team& team);
  int SizeClass(const Job& job) const;
  bool IsLate(const Job& job) const;
  bool IsStarving(const Job& job) const;
  // Returns null if the settings name no team of this name; such a team has no
  // guarantee.
  const Team* FindTeam(const std::string& name) const;

  const ClusterSettings& settings_;
  const RunTimeEstimator& run_times_;
  double wall_s_;
  // Capacity that the jobs ranked so far request, by team.
  std::map<std::string, TeamUsage> requested_;
  std::map<std::string, double> backlog_s_, service_cpus_;  // by team
};

}  // namespace sorrelwood
