// What follows when a task attempt has exited: by its exit reason the task is
// completed, retried or held back, and the machine or the job blamed.
#pragma once

#include <cstdint>

#include "core/balance/rebalancer.h"
#include "core/coordination/completion_store.h"
#include "core/coordination/job_finisher.h"
#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/scheduling/replica_manager.h"
#include "core/workers/attempt_tracker.h"
#include "core/workers/failure_tracker.h"

namespace sorrelwood {

class TaskOutcomes {
 public:
  TaskOutcomes(Context* context, JobTable* jobs, MachineTable* machines,
               AttemptTracker* attempts, FailureTracker* failures,
               ReplicaManager* replicas, Rebalancer* rebalancer,
               CompletionStore* completions, JobFinisher* job_finisher)
      : context_(context),
        jobs_(jobs),
        machines_(machines),
        attempts_(attempts),
        failures_(failures),
        replicas_(replicas),
        rebalancer_(rebalancer),
        completions_(completions),
        job_finisher_(job_finisher) {}

  // The machine reports that the attempt has exited. `attempt`: as tracked
  // here, which it is no longer on return; null where it is not tracked.
  void OnExit(Machine* machine, const TaskStatus& task, TaskAttempt* attempt);

 private:
  // What remains of interest of an attempt once it is removed.
  struct EndedAttempt {
    bool tracked = false;
    bool requeue_for_baseline = false, requeue_on_rented = false;
    bool told_to_stop = false;
    double ran_s = 0;
  };
  EndedAttempt Describe(const TaskAttempt* attempt) const;
  void OnDone(Machine* machine, Job* job, const TaskStatus& task, double ran_s);
  void OnCompleted(Job* job, uint32_t task);
  // Stops another attempt of a task that has completed, if there is one.
  void StopOtherAttempt(const Job& job, uint32_t task);
  // Marks a task that was stopped at the speculation limit, so that it waits
  // for baseline capacity or runs on rented capacity.
  void MarkRequeued(Job* job, uint32_t task, const EndedAttempt& ended) const;

  Context* context_;
  JobTable* jobs_;
  MachineTable* machines_;
  AttemptTracker* attempts_;
  FailureTracker* failures_;
  ReplicaManager* replicas_;
  Rebalancer* rebalancer_;
  CompletionStore* completions_;
  JobFinisher* job_finisher_;
};

}  // namespace sorrelwood
