// Figures about the leader's jobs and machines, for metrics, users and the
// debug log.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/autoscaling/autoscaler.h"
#include "core/balance/rebalancer.h"
#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/replica_manager.h"
#include "core/scheduling/waiting_policy.h"

namespace sorrelwood {

// All zero on a node that does not lead.
struct SchedulerStatistics {
  size_t jobs = 0;              // unfinished
  size_t pending = 0;           // tasks
  size_t placed = 0;            // tasks
  size_t machines = 0;          // of all kinds
  size_t base_machines = 0;     // of the baseline capacity
  int unreconciled = 0;         // machines of earlier terms, see
                                // UnreconciledMachines
  double base_target_cpus = 0;  // of the baseline capacity
  double predictor_error_s = 0, predictor_matthews = 0;
  size_t predictor_samples = 0;
  uint64_t speculative_kills = 0;  // tasks stopped at the speculation limit
  uint64_t rented_to_end = 0;      // tasks left to run on rented capacity
  ReplicaManager::Statistics replicas;
  Rebalancer::Statistics spread;
};

class SchedulerStatisticsCollector {
 public:
  SchedulerStatisticsCollector(
      Context* context, const ClusterSettings* settings, JobTable* jobs,
      MachineTable* machines, const Placement* placement,
      const Autoscaler* autoscaler, const WaitingPolicy* waiting,
      const ReplicaManager* replicas, const Rebalancer* rebalancer)
      : context_(context),
        settings_(settings),
        jobs_(jobs),
        machines_(machines),
        placement_(placement),
        autoscaler_(autoscaler),
        waiting_(waiting),
        replicas_(replicas),
        rebalancer_(rebalancer) {}

  SchedulerStatistics Collect() const;
  // How far each unfinished job has come, in the order of identifiers.
  std::vector<JobCounts> CollectJobCounts() const;
  // Writes each team's usage to the debug log.
  void LogTeamUsage() const;

 private:
  Context* context_;
  const ClusterSettings* settings_;
  JobTable* jobs_;
  MachineTable* machines_;
  const Placement* placement_;
  const Autoscaler* autoscaler_;
  const WaitingPolicy* waiting_;
  const ReplicaManager* replicas_;
  const Rebalancer* rebalancer_;
};

}  // namespace sorrelwood
