// The leader's work: hears the machines, places tasks, writes down what is
// finished, and deals with what fails.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "core/autoscaling/autoscaler.h"
#include "core/balance/bounded_placement.h"
#include "core/balance/rebalancer.h"
#include "core/coordination/completion_store.h"
#include "core/coordination/job_cache.h"
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
#include "core/workers/health_monitor.h"
#include "core/workers/unreconciled_machines.h"

namespace sorrelwood {

class Scheduler {
 public:
  Scheduler(Context* context, JobCache* job_cache, LeaderElection* election,
            const ClusterSettings* settings, const StateLimitTracker* limits,
            const PolicySettings& policy, uint64_t seed);

  void OnLeadershipAcquired();
  void OnLeadershipLost();
  void Tick();
  // The process stood still for so long.
  void OnProcessPause(double gap_s) { monitor_.OnProcessPause(gap_s); }
  void UpdateCatalog(const std::vector<MachineType>& types);
  void OnJobLive(const std::string& id);
  void OnJobEnded(const std::string& id, FinalState state);
  // A report to which this node may answer as leader.
  void OnHeartbeat(uint64_t request, const Heartbeat& heartbeat);
  std::vector<JobCounts> Counts();

  struct Statistics {
    size_t jobs = 0, pending = 0, placed = 0, machines = 0, base_machines = 0;
    int unreconciled = 0;
    double base_target_cpus = 0;
    double predictor_error_s = 0, predictor_matthews = 0;
    size_t predictor_samples = 0;
    uint64_t speculative_kills = 0, rented_to_end = 0;
    ReplicaManager::Statistics replicas;
    Rebalancer::Statistics spread;
  };
  Statistics CollectStatistics();

 private:
  void Load();
  void LoadMachines(const StateResult& result);
  void Activate(const StateResult& rents);
  void LoadFailed();

  // Takes what a machine says of itself. `direct`: it came in answer to a
  // direct command, and may have crossed a launch that is under way.
  void ApplyHeartbeat(Machine* machine, const Heartbeat& heartbeat,
                      bool direct);
  void OnNewIncarnation(Machine* machine, uint64_t incarnation);
  void ApplyTaskStatus(Machine* machine, const TaskStatus& task);
  void ApplyTaskExit(Machine* machine, const TaskStatus& task,
                     TaskAttempt* attempt);
  void AdoptAttempt(Machine* machine, const TaskStatus& task);
  void RemoveAttempt(Machine* machine,
                     std::map<TaskId, TaskAttempt>::iterator it);
  // What was chosen for the machine and not sent goes elsewhere.
  void RemovePlannedAttempts(Machine* machine);
  void RemoveAllAttempts(Machine* machine);
  void ForgetMachineContents(Machine* machine);
  void OnTaskCompleted(Job* job, uint32_t task);
  void OnTaskSucceeded(Machine* machine);
  void OnTaskSucceeded(Job* job);
  void OnTaskFailed(Machine* machine, Job* job, uint32_t task);
  // Sets the machine aside, or takes it back, by what has failed there.
  void ReassessQuarantine(Machine* machine);
  void OnPreemptionNotice(Machine* machine);
  std::vector<Command> SelectCommands(Machine* machine,
                                      const Heartbeat& heartbeat);
  std::vector<Command> StopsForEndedJobs(const Heartbeat& heartbeat) const;
  void Record(Machine* machine);
  void UpdateUnreconciled();
  void WriteCompletions();
  void Finish(Job* job);
  void DescribeTeams();

  Context* context_;
  JobCache* job_cache_;
  LeaderElection* election_;
  const ClusterSettings* settings_;
  PolicySettings policy_;
  JobTable jobs_;
  MachineTable machines_;
  Placement placement_;
  StateWriter writer_;
  CompletionStore completions_;
  Autoscaler autoscaler_;
  ReplicaManager replicas_;
  Preemption preemption_;
  WaitingPolicy waiting_;
  BoundedPlacement spread_placement_;
  Rebalancer rebalancer_;
  HealthMonitor monitor_;

  bool active_ = false;
  uint64_t generation_ = 0;
  double next_place_ = 0, next_silence_ = 0, next_write_ = 0, next_policy_ = 0,
         next_rank_ = 0, next_debug_ = 0, next_preemption_ = 0;
  double reload_at_ = 0;  // 0: no reading of the records has failed
  std::deque<std::string>
      completed_jobs_;  // jobs whose end is to be written, in turn
  UnreconciledMachines unreconciled_;
};

}  // namespace sorrelwood
