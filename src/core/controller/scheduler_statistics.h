// Statistics about the leader's jobs and machines, for metrics, users and the
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

// Job and machine counts are zero on a node that does not lead.
struct SchedulerStatistics {
  size_t jobs = 0;  // unfinished
  size_t pending_tasks = 0;
  size_t placed_tasks = 0;
  size_t machines = 0;
  size_t baseline_machines = 0;
  int unreconciled_machines = 0;  // see UnreconciledMachines
  double baseline_target_cpus = 0;
  // Accuracy of the wait predictor.
  double predictor_error_s = 0;  // mean absolute error
  double predictor_matthews_correlation = 0;
  size_t predictor_samples = 0;
  uint64_t speculative_kills = 0;  // tasks stopped at the speculation limit
  // Tasks that the waiting policy let run to the end on rented machines.
  uint64_t kept_on_rented_machines = 0;
  ReplicaManager::Statistics replicas;
  Rebalancer::Statistics rebalancing;
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
  // Returns the progress of each unfinished job, ordered by job id.
  std::vector<JobCounts> CollectJobCounts() const;
  // Logs each team's usage at debug level.
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
