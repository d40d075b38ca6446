#include "core/jobs/queue_ranking.h"

#include <algorithm>
#include <cmath>

#include "base/constants.h"
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
  position.guaranteed = TakeFromGuarantee(*job, team);
  // The backlog of a team that is not known stays 0, so that it goes last.
  if (team) AddToBacklog(*job, *team);
  position.size_class = SizeClass(*job);
  position.late = IsLate(*job);
  position.starving = IsStarving(*job);
}

double QueueRanking::TasksLeft(const Job& job) {
  return job.failing() ? 1 : job.spec().tasks - job.progress.done.size();
}

bool QueueRanking::TakeFromGuarantee(const Job& job, const Team* team) {
  const JobSpec& spec = job.spec();
  const double left = TasksLeft(job);
  TeamUsage& wanted = wanted_[spec.team];
  wanted.cpus += left * spec.cpus;
  wanted.gpus += left * spec.gpus;
  return team && wanted.cpus <= team->cpus && wanted.gpus <= team->gpus;
}

void QueueRanking::AddToBacklog(const Job& job, const Team& team) {
  const JobSpec& spec = job.spec();
  // A service is no backlog: it takes its share of the limit for as long as it
  // runs.
  if (spec.IsService()) return;
  backlog_s_[spec.team] +=
      TasksLeft(job) * spec.cpus * run_times_.Estimate(spec) /
      std::max(spec.cpus, team.cpus_max - service_cpus_[spec.team]);
}

int QueueRanking::SizeClass(const Job& job) const {
  const JobSpec& spec = job.spec();
  // Prevents a large job from waiting for ever under lasting overload.
  if (spec.IsService() || job.Age(wall_) > kOrderByObjectiveMaxAgeS) return 0;
  const double cpu_seconds =
      TasksLeft(job) * spec.cpus * run_times_.Estimate(spec);
  return static_cast<int>(std::log2(1 + cpu_seconds));
}

bool QueueRanking::IsLate(const Job& job) const {
  // Prevents a job that has missed its objectives from waiting for ever.
  if (job.spec().IsService() || job.Age(wall_) > kOrderByObjectiveMaxAgeS)
    return false;
  constexpr double kNotLateS = 1;  // any time that is not negative
  return ObjectiveSlack(job, settings_.objectives,
                        run_times_.Estimate(job.spec()), wall_, kNotLateS) < 0;
}

bool QueueRanking::IsStarving(const Job& job) const {
  return job.Age(wall_) > kStarvationAgeS && !job.progress.AnyPlaced() &&
         job.progress.done.empty() && !job.failing();
}

const Team* QueueRanking::FindTeam(const std::string& name) const {
  const auto team = std::find_if(settings_.teams.begin(), settings_.teams.end(),
                                 [&](const Team& t) { return t.name == name; });
  return team == settings_.teams.end() ? nullptr : &*team;
}

}  // namespace sorrelwood
