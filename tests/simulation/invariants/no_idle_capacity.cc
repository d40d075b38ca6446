#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "simulation/invariants/invariant_checker.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

constexpr double kMaxWaitS = 90;

// Resources of all tasks that have not exited, including those that still fetch
// their image.
struct HeldResources {
  std::map<std::string, double> cpus_by_team;
  std::map<std::string, uint32_t> tasks_by_job;
  // Keyed by job and zone.
  std::map<std::pair<std::string, std::string>, uint32_t> tasks_by_zone;

  explicit HeldResources(SimulatedCluster& cluster) {
    for (const auto& [name, worker] : cluster.workers().all())
      for (const auto& [id, task] : worker->tasks) {
        if (!task.HoldsResources()) continue;
        const JobSpec& spec = cluster.clients().Get(id.job).spec;
        cpus_by_team[spec.team] += spec.cpus;
        ++tasks_by_job[id.job];
        ++tasks_by_zone[{id.job, worker->zone}];
      }
  }

  uint32_t TasksInZone(const std::string& job, const std::string& zone) const {
    const auto it = tasks_by_zone.find({job, zone});
    return it == tasks_by_zone.end() ? 0 : it->second;
  }
};

bool IsUsable(const SimulatedCluster& cluster, const Worker& worker) {
  const double now = cluster.now();
  return worker.up && !worker.fails_all_tasks && worker.preempted_at_s <= 0 &&
         now >= worker.partitioned_until_s && now >= worker.hung_until_s &&
         now >= worker.inbound_lost_until_s &&
         now >= worker.outbound_lost_until_s;
}

bool IsAllowed(const JobSpec& spec, const Worker& worker) {
  return (!worker.spot || spec.spot) &&
         (spec.zone.empty() || spec.zone == worker.zone) &&
         (spec.types.empty() || spec.types[0] == worker.type);
}

bool ZoneIsAllowed(const JobSpec& spec, const Worker& worker,
                   HeldResources& held) {
  const uint32_t in_zone = held.TasksInZone(spec.id, worker.zone);
  if (spec.one_zone && held.tasks_by_job[spec.id] > in_zone) return false;
  return !spec.spread || in_zone + 1 <= (spec.tasks + 1) / 2;
}

bool HasFreeResources(SimulatedCluster& cluster, const JobSpec& spec,
                      const Worker& worker) {
  double cpus = spec.cpus;
  double memory_gb = spec.memory_gb;
  for (const auto& [id, task] : worker.tasks) {
    if (!task.HoldsResources()) continue;
    const JobSpec& other = cluster.clients().Get(id.job).spec;
    cpus += other.cpus;
    memory_gb += other.memory_gb;
  }
  const MachineType& type = cluster.machine_type(worker.type);
  return cpus <= type.cpus && memory_gb <= type.memory_gb;
}

// Whether a waiting task of the job fits on a machine and into its team's
// limit.
bool CanStartTask(SimulatedCluster& cluster, const ClientJob& job,
                  HeldResources& held) {
  const JobSpec& spec = job.spec;
  if (!job.accepted || job.final_state_reported || job.cancel_requested ||
      job.fails_everywhere || job.crash_loops || job.replicas_exit)
    return false;
  if (job.completed.size() + held.tasks_by_job[spec.id] >= spec.tasks ||
      held.cpus_by_team[spec.team] + spec.cpus >
          cluster.TeamCpuLimit(spec.team))
    return false;
  const auto& workers = cluster.workers().all();
  return std::any_of(workers.begin(), workers.end(), [&](const auto& item) {
    const Worker& worker = *item.second;
    return IsUsable(cluster, worker) && IsAllowed(spec, worker) &&
           ZoneIsAllowed(spec, worker, held) &&
           HasFreeResources(cluster, spec, worker);
  });
}

}  // namespace

void CheckNoJobWaitsBesideFreeCapacity(SimulatedCluster& cluster) {
  if (cluster.NetworkIsUnusable() || cluster.options().large_fleet ||
      cluster.now() < cluster.faults_end_s())
    return;
  HeldResources held(cluster);
  for (const auto& [id, job] : cluster.clients().all()) {
    const bool waits = CanStartTask(cluster, *job, held);
    if (!waits || job->waits_since_s == 0 ||
        job->waits_since_s < job->last_start_s)
      job->waits_since_s = waits ? cluster.now() : 0;
    if (!waits || cluster.now() - job->waits_since_s <= kMaxWaitS) continue;
    cluster.ReportViolation(
        "idle capacity: " + id +
        " waits although a machine has enough free resources");
    job->waits_since_s = cluster.now();
  }
}

}  // namespace sorrelwood::test
