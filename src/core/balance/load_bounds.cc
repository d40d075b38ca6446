#include "core/balance/load_bounds.h"

#include <algorithm>

#include "base/constants/placement.h"

namespace sorrelwood {

double LoadBounds::TakeStartableCpus(const Job& job, double now,
                                     double* quota_left_cpus) {
  if (job.progress.pending.empty() || job.finishing) return 0;
  const double wanted = job.CountRunnableTasks(now) * job.spec().cpus;
  const double granted =
      std::clamp(wanted, 0.0, std::max(0.0, *quota_left_cpus));
  *quota_left_cpus -= granted;
  return granted;
}

void LoadBounds::Update(double now) {
  capacity_cpus_ = 0;
  for (const auto& [name, machine] : machines_->all())
    if (IsIncluded(*machine)) capacity_cpus_ += machine->type->cpus;
  std::map<std::string, double> quota_left_cpus;
  team_demand_cpus_.clear();
  for (const Team& team : settings_->teams) {
    const double in_use = jobs_->UsageOf(team.name).cpus;
    team_demand_cpus_[team.name] = in_use;
    quota_left_cpus[team.name] = team.cpus_max - in_use;
  }
  for (const auto& [id, job] : jobs_->all()) {
    const std::string& team = job->spec().team;
    team_demand_cpus_[team] +=
        TakeStartableCpus(*job, now, &quota_left_cpus[team]);
  }
  demand_cpus_ = 0;
  for (const auto& [team, demand] : team_demand_cpus_) demand_cpus_ += demand;
}

double LoadBounds::BoundFor(double demand_cpus, const Machine& machine) const {
  if (capacity_cpus_ <= 0) return kNoLimit;
  return (1 + spread_.headroom) * demand_cpus * machine.cpus() / capacity_cpus_;
}

double LoadBounds::TotalBound(const Machine& machine) const {
  return BoundFor(demand_cpus_, machine);
}

double LoadBounds::TeamBound(const std::string& team,
                             const Machine& machine) const {
  const auto demand = team_demand_cpus_.find(team);
  if (demand == team_demand_cpus_.end()) return 0;
  return BoundFor(demand->second, machine);
}

bool LoadBounds::AllowsTask(const Job& job, const Machine& machine) const {
  const JobSpec& spec = job.spec();
  const double team_cpus = machine.TeamCpus(spec.team);
  if (team_cpus > 0 &&
      team_cpus + spec.cpus > TeamBound(spec.team, machine) + kResourceRounding)
    return false;
  return machine.used.cpus <= 0 || machine.used.cpus + spec.cpus <=
                                       TotalBound(machine) + kResourceRounding;
}

}  // namespace sorrelwood
