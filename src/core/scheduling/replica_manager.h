// Replicas: the tasks of services, which run until their job is cancelled. One
// that ends, for whatever cause, runs again elsewhere as a new attempt.
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

  // The machine's report shows the replica running. True when it has just run
  // long enough to show that neither job nor machine is at fault.
  bool BecameStable(Job* job, uint32_t task, TaskAttempt* attempt);
  // The replica ended by itself, or was refused, after `ran_s` of running. It
  // starts again at once the first time, then at a falling rate.
  void Ended(Job* job, uint32_t task, double ran_s);

  // Stops replicas on machines that are about to go: as soon as there is a
  // place for them elsewhere, or when there is no more time to wait for one.
  void LeaveDepartingMachines();
  // Counts the time without replicas; called at every tick of a leader.
  void CountTime();

  struct Statistics {
    size_t wanted = 0, running = 0;
    uint64_t restarted = 0;  // since this process began to lead
    double without_s = 0;    // seconds that wanted replicas did not run
  };
  Statistics CollectStatistics() const;

 private:
  bool HasPlaceElsewhere(const Job& job, const Machine& machine) const;

  Context* context_;
  JobTable* jobs_;
  MachineTable* machines_;
  const Placement* placement_;
  uint64_t restarted_ = 0;
  double without_s_ = 0, counted_at_ = 0;
};

}  // namespace sorrelwood
