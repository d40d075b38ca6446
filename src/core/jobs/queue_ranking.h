// Computes the queue position of every job: guarantees, objectives, backlog and
// size, as QueueOrder needs them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/jobs/job.h"
#include "core/jobs/run_time_estimator.h"
#include "core/jobs/team_usage.h"
#include "core/model/settings.h"

namespace sorrelwood {

// Used for one ranking and thrown away.
class QueueRanking {
 public:
  // `settings` and `run_times` must outlive this object; `wall` is the wall
  // time.
  QueueRanking(const ClusterSettings& settings,
               const RunTimeEstimator& run_times, double wall)
      : settings_(settings), run_times_(run_times), wall_(wall) {}

  // Sets the queue position of all jobs, which are in the order of their
  // arrival: earlier jobs use up their team's guarantee first.
  void Rank(const std::vector<Job*>& by_arrival);

 private:
  void AddServiceCpus(const std::vector<Job*>& by_arrival);
  void RankJob(Job* job);
  // What is left of the job: tasks, and a single one while it fails everywhere.
  static double TasksLeft(const Job& job);
  // The job and those of its team before it lie within the team's guarantee.
  bool TakeFromGuarantee(const Job& job, const Team* team);
  void AddToBacklog(const Job& job, const Team& team);
  int SizeClass(const Job& job) const;
  bool IsLate(const Job& job) const;
  bool IsStarving(const Job& job) const;
  // Null: the settings name no such team; it has no guarantee.
  const Team* FindTeam(const std::string& name) const;

  const ClusterSettings& settings_;
  const RunTimeEstimator& run_times_;
  double wall_;
  std::map<std::string, TeamUsage> wanted_;  // by jobs looked at, by team
  std::map<std::string, double> backlog_s_, service_cpus_;  // by team
};

}  // namespace sorrelwood
