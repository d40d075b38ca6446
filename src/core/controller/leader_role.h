// Owns the components that are active while this node is the leader: they
// handle heartbeats, place tasks, scale the fleet, commit results and handle
// failures. This class only determines when each of them runs.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/constants/debug_log.h"
#include "base/constants/placement.h"
#include "base/constants/services.h"
#include "base/constants/state_service.h"
#include "base/constants/workers.h"
#include "base/periodic_timer.h"
#include "core/autoscaling/autoscaler.h"
#include "core/balance/bounded_placement.h"
#include "core/balance/rebalancer.h"
#include "core/controller/failover_recovery.h"
#include "core/controller/job_lifecycle.h"
#include "core/controller/scheduler_statistics.h"
#include "core/coordination/completion_store.h"
#include "core/coordination/job_cache.h"
#include "core/coordination/job_finisher.h"
#include "core/coordination/leader_election.h"
#include "core/coordination/state_limits.h"
#include "core/coordination/state_writer.h"
#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/preemption.h"
#include "core/scheduling/replica_manager.h"
#include "core/scheduling/waiting_policy.h"
#include "core/workers/attempt_tracker.h"
#include "core/workers/command_selector.h"
#include "core/workers/failure_tracker.h"
#include "core/workers/health_monitor.h"
#include "core/workers/heartbeat_handler.h"
#include "core/workers/machine_recorder.h"
#include "core/workers/preemption_notices.h"
#include "core/workers/quarantine.h"
#include "core/workers/reconciler.h"
#include "core/workers/task_outcomes.h"
#include "core/workers/task_status_handler.h"
#include "core/workers/unreconciled_machines.h"

namespace sorrelwood {

class LeaderRole {
 public:
  // `seed` seeds the random numbers of the wait predictor.
  LeaderRole(Context* context, JobCache* job_cache, LeaderElection* election,
             const ClusterSettings* settings, const StateLimitTracker* limits,
             const PolicySettings& policy, uint64_t seed);
  // Not copyable: the components hold pointers to each other.
  LeaderRole(const LeaderRole&) = delete;
  LeaderRole& operator=(const LeaderRole&) = delete;

  // Starts the failover recovery.
  void OnLeadershipAcquired();
  void OnLeadershipLost() { ResetTermState(); }
  // Runs all periodic work that is due. Does nothing while this node does not
  // lead.
  void Tick();
  // Called after no input was handled for `gap_s` seconds.
  void OnProcessPause(double gap_s) { health_monitor_.OnProcessPause(gap_s); }
  // Called with each catalogue of machine types read from the cloud.
  void UpdateCatalog(const std::vector<MachineType>& types);
  // Called by the job cache for each new live job, and for each job that ends.
  // Ignored until recovery is complete: recovery itself adds all live jobs.
  void OnJobAdded(const std::string& id);
  void OnJobEnded(const std::string& id);
  // Handles a heartbeat. Called only while this node may renew worker leases.
  // `request` identifies the request to respond to.
  void OnHeartbeat(uint64_t request, const Heartbeat& heartbeat);

  // Returns an empty list until recovery is complete.
  std::vector<JobCounts> CollectJobCounts() const;
  SchedulerStatistics CollectStatistics() const {
    return statistics_.Collect();
  }

 private:
  // Clears the state of the previous term.
  void ResetTermState();
  // The steps of a tick; each runs only when its timer is due.
  void CommitResults();
  void ApplyPolicies();
  void PreemptForServices();
  void PlacePending();

  Context* context_;
  LeaderElection* election_;

  JobTable jobs_;
  MachineTable machines_;
  UnreconciledMachines unreconciled_;

  Placement placement_;
  StateWriter writer_;
  CompletionStore completions_;
  JobFinisher job_finisher_;
  Autoscaler autoscaler_;
  ReplicaManager replicas_;
  Preemption preemption_;
  WaitingPolicy waiting_;
  BoundedPlacement bounded_placement_;
  Rebalancer rebalancer_;

  AttemptTracker attempts_;
  Quarantine quarantine_;
  FailureTracker failures_;
  TaskOutcomes task_outcomes_;
  TaskStatusHandler task_status_;
  MachineRecorder machine_recorder_;
  PreemptionNotices preemption_notices_;
  Reconciler reconciler_;
  CommandSelector commands_;
  HealthMonitor health_monitor_;
  HeartbeatHandler heartbeat_handler_;

  JobLifecycle job_lifecycle_;
  FailoverRecovery recovery_;
  SchedulerStatisticsCollector statistics_;

  PeriodicTimer health_timer_{kHealthCheckIntervalS};
  PeriodicTimer commit_timer_{kCompletionBatchS};
  PeriodicTimer policy_timer_{kPolicyIntervalS};
  PeriodicTimer preemption_timer_{kPreemptionIntervalS};
  PeriodicTimer team_usage_timer_{kDebugLogIntervalS};
  PeriodicTimer placement_timer_{kPlacementIntervalS};
};

}  // namespace sorrelwood
