#include "core/jobs/queue_ranking.h"

#include <algorithm>
#include <cmath>

#include "base/constants/queue_order.h"
#include "core/jobs/objective_slack.h"

namespace sorrelwood {

void QueueRanking::Rank(const std::vector<Job*>& by_arrival) {
  AddServiceCpus(by_arrival);
  for (Job* job : by_arrival) RankJob(job);
  for (Job* job : by_arrival)
    job->queue_position.team_backlog_s = backlog_s_[job->spec().team];
}

void QueueRanking::AddServiceCpus(const std::vector<Job*>& by_arrival) {
  for (const Job* job : by_arrival) {
    const JobSpec& spec = job->spec();
    if (spec.IsService()) service_cpus_[spec.team] += spec.cpus * spec.tasks;
  }
}

void QueueRanking::RankJob(Job* job) {
  const Team* team = FindTeam(job->spec().team);
  QueuePosition& position = job->queue_position;
  position.within_guarantee = ClaimGuarantee(*job, team);
  // An unknown team keeps a backlog of 0, so that its jobs go last.
  if (team) AddToBacklog(*job, *team);
  position.size_class = SizeClass(*job);
  position.late = IsLate(*job);
  position.starving = IsStarving(*job);
}

double QueueRanking::CountTasksLeft(const Job& job) {
  return job.failing() ? 1 : job.spec().tasks - job.progress.done.size();
}

bool QueueRanking::ClaimGuarantee(const Job& job, const Team* team) {
  const JobSpec& spec = job.spec();
  const double tasks_left = CountTasksLeft(job);
  TeamUsage& requested = requested_[spec.team];
  requested.cpus += tasks_left * spec.cpus;
  requested.gpus += tasks_left * spec.gpus;
  return team && requested.cpus <= team->cpus && requested.gpus <= team->gpus;
}

void QueueRanking::AddToBacklog(const Job& job, const Team& team) {
  const JobSpec& spec = job.spec();
  // A service is not backlog: while it runs it uses part of the team's quota,
  // which is subtracted below.
  if (spec.IsService()) return;
  backlog_s_[spec.team] +=
      CountTasksLeft(job) * spec.cpus * run_times_.Estimate(spec) /
      std::max(spec.cpus, team.cpus_max - service_cpus_[spec.team]);
}

int QueueRanking::SizeClass(const Job& job) const {
  const JobSpec& spec = job.spec();
  // Prevents a large job from waiting forever during a lasting overload.
  if (spec.IsService() || job.AgeAt(wall_s_) > kOrderByObjectiveMaxAgeS)
    return 0;
  const double cpu_seconds =
      CountTasksLeft(job) * spec.cpus * run_times_.Estimate(spec);
  return static_cast<int>(std::log2(1 + cpu_seconds));
}

bool QueueRanking::IsLate(const Job& job) const {
  // Prevents a job that has missed its objectives from waiting forever.
  if (job.spec().IsService() || job.AgeAt(wall_s_) > kOrderByObjectiveMaxAgeS)
    return false;
  constexpr double kSlackWithoutObjectiveS = 1;  // any value of at least 0
  return ComputeObjectiveSlack(job, settings_.objectives,
                               run_times_.Estimate(job.spec()), wall_s_,
                               kSlackWithoutObjectiveS) < 0;
}

bool QueueRanking::IsStarving(const Job& job) const {
  return job.AgeAt(wall_s_) > kStarvationAgeS && !job.progress.AnyPlaced() &&
         job.progress.done.empty() && !job.failing();
}

const Team* QueueRanking::FindTeam(const std::string& name) const {
  const auto team = std::find_if(
      settings_.teams.begin(), settings_.teams.end(),
      [&](const Team& candidate) { return candidate.name == name; });
  return team == settings_.teams.end() ? nullptr : &*team;
}

}  // namespace sorrelwood
