// The waiting policy: a task that has run speculatively on a rented machine for
// t is killed; it waits for owned room if its predicted wait is under b, else
// it runs rented to the end. One that has waited b long is rented likewise.
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

  // Judges the tasks that have reached t or b, and refits when it is time.
  void Tick();
  // A task of the job starts on owned room: its wait is a sample.
  void LearnStart(Job* job, const Machine& machine);

  const WaitPredictor& predictor() const { return predictor_; }
  uint64_t killed() const { return killed_; }
  uint64_t rented() const { return rented_; }

 private:
  WaitFeatures Observe(double cpus);

  Context* context_;
  JobTable* jobs_;
  MachineTable* machines_;
  PolicySettings policy_;
  WaitPredictor predictor_;
  double next_fit_ = -1;
  uint64_t killed_ = 0, rented_ = 0;
};

}  // namespace sorrelwood
