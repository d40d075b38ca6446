// The waiting policy decides which tasks run on rented machines. A task may
// start there speculatively. After it has run for t (speculation_limit_s) it is
// stopped: if its predicted wait for owned capacity is shorter than b
// (wait_limit_s), it is requeued for owned capacity; otherwise it is requeued
// and may run on a rented machine to its end. So may a task that was requeued
// for owned capacity and has waited for b since then.
#pragma once

#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/scheduling/wait_predictor.h"

namespace sorrelwood {

class WaitingPolicy {
 public:
  WaitingPolicy(Context* context, JobTable* jobs, MachineTable* machines,
                const PolicySettings& policy, uint64_t seed)
      : context_(context),
        jobs_(jobs),
        machines_(machines),
        policy_(policy),
        predictor_(policy, seed) {}

  // Refits the predictor when the fit interval has passed, records the state of
  // the cluster for new jobs, and decides on the tasks that have reached one of
  // the two limits.
  void Tick();
  // Called when a task of the job starts. The first start on an owned machine
  // gives the predictor a sample of the job's wait.
  void RecordWaitSample(Job* job, const Machine& machine);

  const WaitPredictor& predictor() const { return predictor_; }
  // Tasks stopped at the speculation limit.
  uint64_t speculative_kills() const { return speculative_kills_; }
  // Tasks that may run on rented machines because they reached the wait limit.
  uint64_t rented_to_end() const { return rented_to_end_; }

 private:
  // Returns the state of the cluster for a task that asks for `task_cpus`.
  WaitFeatures ObserveCluster(double task_cpus);

  Context* context_;
  JobTable* jobs_;
  MachineTable* machines_;
  PolicySettings policy_;
  WaitPredictor predictor_;
  double next_fit_at_ = -1;  // -1 before the first tick
  uint64_t speculative_kills_ = 0, rented_to_end_ = 0;
};

}  // namespace sorrelwood
