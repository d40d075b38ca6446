// Manages replicas, the tasks of services, which run until their job is
// cancelled. A replica that ends for any reason is restarted as a new attempt.
#pragma once

#include <cstdint>

#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/scheduling/placement.h"

namespace sorrelwood {

class ReplicaManager {
 public:
  ReplicaManager(Context* context, JobTable* jobs, MachineTable* machines,
                 const Placement* placement)
      : context_(context),
        jobs_(jobs),
        machines_(machines),
        placement_(placement) {}

  // Called when the machine reports the replica as running. Marks the attempt
  // as stable once it has run for kReplicaStableS, which shows that neither the
  // job nor the machine is at fault. True only for the call that marks it.
  bool MarkIfStable(Job* job, uint32_t task, TaskAttempt* attempt);
  // Called when the replica ended by itself after running for `ran_s`, or was
  // refused by the machine. The first early end allows an immediate restart;
  // further ones in a row are followed by pauses of growing length.
  void OnReplicaEnded(Job* job, uint32_t task, double ran_s);

  // Stops replicas on machines with a preemption notice: as soon as another
  // machine has a place for them, or when only kReplicaForcedStopS are left.
  void StopReplicasOnDepartingMachines();
  // Adds up the time that wanted replicas do not run. Called at every tick of
  // the leader.
  void AccumulateMissingTime();

  struct Statistics {
    size_t wanted = 0, running = 0;
    uint64_t restarted = 0;  // since this process started to lead
    // Time (s) that wanted replicas did not run, summed over the replicas.
    double missing_replica_s = 0;
  };
  Statistics CollectStatistics() const;

 private:
  bool HasPlaceElsewhere(const Job& job, const Machine& machine) const;

  Context* context_;
  JobTable* jobs_;
  MachineTable* machines_;
  const Placement* placement_;
  uint64_t restarted_ = 0;
  double missing_replica_s_ = 0, last_accumulated_at_ = 0;
};

}  // namespace sorrelwood
