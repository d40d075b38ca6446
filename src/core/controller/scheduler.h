// The leader's work: hears the machines, places tasks, writes down what is
// finished, and deals with what fails.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "core/autoscaling/fleet.h"
#include "core/balance/bounded_placement.h"
#include "core/balance/rebalancer.h"
#include "core/coordination/directory.h"
#include "core/coordination/leadership.h"
#include "core/coordination/progress_store.h"
#include "core/coordination/state_limits.h"
#include "core/coordination/writer.h"
#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/preemption.h"
#include "core/scheduling/replicas.h"
#include "core/scheduling/waiting_policy.h"
#include "core/workers/machine_monitor.h"
#include "core/workers/unaccounted_machines.h"

namespace sorrelwood {

class Scheduler {
 public:
  Scheduler(Context* context, Directory* directory, Leadership* leadership,
            const ClusterSettings* settings, const StateLimitTracker* limits,
            const PolicySettings& policy, uint64_t seed);

  void Elected();
  void Deposed();
  void Tick();
  // The process stood still for so long.
  void Stalled(double gap_s) { monitor_.Stalled(gap_s); }
  void LearnCatalog(const std::vector<MachineType>& types);
  void JobAppeared(const std::string& id);
  void JobEnded(const std::string& id, FinalState state);
  // A report to which this node may answer as leader.
  void Report(uint64_t request, const WorkerReport& report);
  std::vector<JobCounts> Counts();

  struct Figures {
    size_t jobs = 0, pending = 0, placed = 0, machines = 0, base_machines = 0;
    int unaccounted = 0;
    double base_target_cpus = 0;
    double predictor_error_s = 0, predictor_matthews = 0;
    size_t predictor_samples = 0;
    uint64_t speculative_kills = 0, rented_to_end = 0;
    ReplicaKeeper::Figures replicas;
    Rebalancer::Figures spread;
  };
  Figures Measure();

 private:
  void Load();
  void LoadMachines(const StateResult& result);
  void Activate(const StateResult& rents);
  void LoadFailed();

  // Takes what a machine says of itself. `direct`: it came in answer to a
  // direct command, and may have crossed a launch that is under way.
  void ApplyReport(Machine* machine, const WorkerReport& report, bool direct);
  void NewSession(Machine* machine, uint64_t session);
  void ApplyTaskReport(Machine* machine, const TaskReport& task);
  void ApplyTaskExit(Machine* machine, const TaskReport& task, Placed* placed);
  void Adopt(Machine* machine, const TaskReport& task);
  void DropTask(Machine* machine, std::map<TaskKey, Placed>::iterator it);
  // What was chosen for the machine and not sent goes elsewhere.
  void DropUnsent(Machine* machine);
  void DropAll(Machine* machine);
  void DropEverything(Machine* machine);
  void Completed(Job* job, uint32_t task);
  void Succeeded(Machine* machine);
  void Succeeded(Job* job);
  void Failed(Machine* machine, Job* job, uint32_t task);
  // Sets the machine aside, or takes it back, by what has failed there.
  void AssessFault(Machine* machine);
  void NoticeGiven(Machine* machine);
  std::vector<Command> Orders(Machine* machine, const WorkerReport& report);
  std::vector<Command> StopEnded(const WorkerReport& report) const;
  void Record(Machine* machine);
  void CountUnaccounted();
  void WriteFinished();
  void Finish(Job* job);
  void DescribeTeams();

  Context* context_;
  Directory* directory_;
  Leadership* leadership_;
  const ClusterSettings* settings_;
  PolicySettings policy_;
  JobTable jobs_;
  MachineTable machines_;
  Placement placement_;
  Writer writer_;
  ProgressStore progress_;
  Fleet fleet_;
  ReplicaKeeper replicas_;
  Preemption preemption_;
  WaitingPolicy waiting_;
  BoundedPlacement spread_placement_;
  Rebalancer rebalancer_;
  MachineMonitor monitor_;

  bool active_ = false;
  uint64_t generation_ = 0;
  double next_place_ = 0, next_silence_ = 0, next_write_ = 0, next_policy_ = 0,
         next_rank_ = 0, next_debug_ = 0, next_preemption_ = 0;
  double reload_at_ = 0;  // 0: no reading of the records has failed
  std::deque<std::string>
      complete_;  // jobs whose end is to be written, in turn
  UnaccountedMachines unaccounted_;
};

}  // namespace sorrelwood
