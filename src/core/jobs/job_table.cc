#include "core/jobs/job_table.h"

#include <algorithm>
#include <cmath>

#include "base/constants.h"

namespace sorrelwood {

uint32_t Job::PendingNow(double now) const {
  uint32_t count = pending.size();
  for (const auto& [task, ends] : restarts)
    if (now < ends.not_before && pending.Contains(task)) --count;
  return failing() ? std::min(count, 1u) : count;
}

Job* JobTable::Add(std::shared_ptr<const LiveJob> record, uint64_t version,
                   bool from_earlier_term, double now) {
  auto& slot = jobs_[record->spec.id];
  if (slot) return slot.get();
  slot = std::make_unique<Job>();
  slot->record = std::move(record);
  slot->version = version;
  slot->from_earlier_term = from_earlier_term;
  slot->pending.Add(0, slot->spec().tasks);
  slot->queued_at = now;
  const JobSpec& spec = slot->spec();
  auto [usual, first] = usual_.try_emplace(spec.job_class);
  const double weight = first ? 1 : kUsualLearning;
  usual->second.tasks += (spec.tasks - usual->second.tasks) * weight;
  usual->second.spec = spec;
  usual->second.arrivals.push_back(slot->record->submitted_wall_s);
  if (usual->second.arrivals.size() > kMostArrivals)
    usual->second.arrivals.pop_front();
  queue_stale_ = true;
  return slot.get();
}

void JobTable::Remove(const std::string& id) {
  last_found_ = nullptr;
  jobs_.erase(id);
  queue_stale_ = true;
}

void JobTable::Clear() {
  last_found_ = nullptr;
  jobs_.clear();
  queue_.clear();
  services_.clear();
  use_.clear();
  queue_stale_ = true;
}

Job* JobTable::Find(const std::string& id) {
  if (last_found_ && last_found_->id() == id) return last_found_;
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return nullptr;
  return last_found_ = it->second.get();
}

const std::vector<Job*>& JobTable::queue() {
  if (queue_stale_) {
    queue_.clear();
    for (auto& [id, job] : jobs_) queue_.push_back(job.get());
    std::sort(queue_.begin(), queue_.end(), [](const Job* a, const Job* b) {
      if (a->starving != b->starving) return a->starving;
      if (a->spec().IsService() != b->spec().IsService())
        return a->spec().IsService();
      if (a->guaranteed != b->guaranteed) return a->guaranteed;
      if (a->spec().priority != b->spec().priority)
        return a->spec().priority > b->spec().priority;
      if (a->late != b->late) return b->late;
      if (a->team_backlog_s != b->team_backlog_s)
        return a->team_backlog_s > b->team_backlog_s;
      if (a->size_class != b->size_class) return a->size_class < b->size_class;
      if (a->record->submitted_wall_s != b->record->submitted_wall_s)
        return a->record->submitted_wall_s < b->record->submitted_wall_s;
      return a->id() < b->id();
    });
    services_.clear();
    for (Job* job : queue_)
      if (job->spec().IsService()) services_.push_back(job);
    queue_stale_ = false;
  }
  return queue_;
}

const std::vector<Job*>& JobTable::services() {
  queue();
  return services_;
}

void JobTable::Rank(const ClusterSettings& settings, double wall) {
  const std::vector<Team>& teams = settings.teams;
  std::vector<Job*> by_arrival;
  for (auto& [id, job] : jobs_) by_arrival.push_back(job.get());
  std::sort(by_arrival.begin(), by_arrival.end(),
            [](const Job* a, const Job* b) {
              return a->record->submitted_wall_s < b->record->submitted_wall_s;
            });
  std::map<std::string, TeamUse> earlier;
  std::map<std::string, double> backlog_s, service_cpus;
  for (const Job* job : by_arrival)
    if (job->spec().IsService())
      service_cpus[job->spec().team] += job->spec().cpus * job->spec().tasks;
  for (Job* job : by_arrival) {
    const JobSpec& spec = job->spec();
    const auto team =
        std::find_if(teams.begin(), teams.end(),
                     [&](const Team& t) { return t.name == spec.team; });
    TeamUse& use = earlier[spec.team];
    const double left = job->failing() ? 1 : spec.tasks - job->done.size();
    use.cpus += left * spec.cpus;
    use.gpus += left * spec.gpus;
    job->size_class = spec.IsService()
                          ? 0
                          : static_cast<int>(std::log2(1 + left * spec.cpus *
                                                               Estimate(spec)));
    // Without a limit: 0 s, so that guests go last. A service is no backlog: it
    // takes its share of the limit for as long as it runs.
    if (team != teams.end() && !spec.IsService())
      backlog_s[spec.team] +=
          left * spec.cpus * Estimate(spec) /
          std::max(spec.cpus, team->cpus_max - service_cpus[spec.team]);
    job->guaranteed =
        team != teams.end() && use.cpus <= team->cpus && use.gpus <= team->gpus;
    // Not for ever: under lasting overload it would never run.
    const double age = wall - job->record->submitted_wall_s;
    if (age > kYieldS) job->size_class = 0;
    job->late = !spec.IsService() && age <= kYieldS &&
                Slack(*job, settings.objectives, wall, 1) < 0;
    job->starving = age > kBeginS && job->machine_of_task.empty() &&
                    job->done.empty() && !job->failing();
  }
  for (Job* job : by_arrival) job->team_backlog_s = backlog_s[job->spec().team];
  queue_stale_ = true;
}

double JobTable::Slack(const Job& job, const std::vector<Objective>& objectives,
                       double wall, double most) const {
  const JobSpec& spec = job.spec();
  const double estimate = Estimate(spec);
  const double age = wall - job.record->submitted_wall_s;
  double next = most;    // the least that is left of an aim
  double missed = -1e9;  // the latest aim that is past
  bool can_meet = true, any = false;
  const auto aim = [&](double slack) {
    if (!any) can_meet = false;
    any = true;
    if (slack < 0)
      missed = std::max(missed, slack);
    else
      next = std::min(next, slack), can_meet = true;
  };
  if (spec.deadline_s) aim(*spec.deadline_s - age - estimate);
  for (const Objective& objective : objectives) {
    if (objective.job_class != spec.job_class) continue;
    if (objective.kind == "deadline" && spec.deadline_s && objective.times > 1)
      aim(*spec.deadline_s * objective.times - age - estimate);
    if (objective.within_s <= 0) continue;
    if (objective.kind == "wait") aim(objective.within_s - age);
    if (objective.kind == "finished") aim(objective.within_s - age - estimate);
  }
  return can_meet ? next : missed;
}

double JobTable::Estimate(const JobSpec& spec) const {
  if (spec.IsService()) return kServiceEstimateS;
  auto ratio = estimate_ratio_.find(spec.job_class);
  return std::max(kLeastEstimateS, spec.estimate_s) *
         (ratio == estimate_ratio_.end() ? 1.0 : ratio->second);
}

void JobTable::LearnRunTime(const JobSpec& spec, double ran_s) {
  const double ratio =
      std::clamp(ran_s / std::max(kLeastEstimateS, spec.estimate_s),
                 1 / kMostEstimateRatio, kMostEstimateRatio);
  double& known =
      estimate_ratio_.try_emplace(spec.job_class, 1.0).first->second;
  known += (ratio - known) * kEstimateLearning;
}

const ClassProfile* JobTable::Usual(const std::string& job_class) const {
  auto it = usual_.find(job_class);
  return it == usual_.end() ? nullptr : &it->second;
}

void JobTable::Place(Job* job, uint32_t task, const std::string& machine,
                     const std::string& zone) {
  job->pending.Remove(task);
  job->machine_of_task[task] = machine;
  ++job->attempts_in_zone[zone];
  AddOrphanedUsage(job->spec().team, job->spec().cpus, job->spec().gpus);
}

void JobTable::Unplace(Job* job, uint32_t task, const std::string& zone) {
  if (job->machine_of_task.erase(task) == 0) return;
  if (--job->attempts_in_zone[zone] == 0) job->attempts_in_zone.erase(zone);
  AddOrphanedUsage(job->spec().team, -job->spec().cpus, -job->spec().gpus);
  if (!job->done.Contains(task)) job->pending.Add(task);
}

void JobTable::MarkDone(Job* job, uint32_t task) {
  job->pending.Remove(task);
  job->waiting.erase(task);
  job->moved_ran_s.erase(task);
  if (!job->done.Contains(task)) job->done.Add(task);
}

void JobTable::AddOrphanedUsage(const std::string& team, double cpus,
                                double gpus) {
  TeamUse& use = use_[team];
  use.cpus += cpus;
  use.gpus += gpus;
}

}  // namespace sorrelwood
