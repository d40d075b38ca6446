// Applies the reported status of one task attempt.
#pragma once

#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/scheduling/replica_manager.h"
#include "core/scheduling/waiting_policy.h"
#include "core/workers/attempt_tracker.h"
#include "core/workers/failure_tracker.h"
#include "core/workers/task_outcomes.h"

namespace sorrelwood {

class TaskStatusHandler {
 public:
  TaskStatusHandler(Context* context, JobTable* jobs, AttemptTracker* attempts,
                    TaskOutcomes* outcomes, FailureTracker* failures,
                    ReplicaManager* replicas, WaitingPolicy* waiting)
      : context_(context),
        jobs_(jobs),
        attempts_(attempts),
        outcomes_(outcomes),
        failures_(failures),
        replicas_(replicas),
        waiting_(waiting) {}

  // Applies the status of an attempt that the machine reports.
  void Apply(Machine* machine, const TaskStatus& task);

 private:
  // Marks a tracked attempt as present on the machine and updates its state.
  void Confirm(Machine* machine, const TaskStatus& task, TaskAttempt* attempt);
  void OnRunning(Machine* machine, const TaskStatus& task,
                 TaskAttempt* attempt);

  Context* context_;
  JobTable* jobs_;
  AttemptTracker* attempts_;
  TaskOutcomes* outcomes_;
  FailureTracker* failures_;
  ReplicaManager* replicas_;
  WaitingPolicy* waiting_;
};

}  // namespace sorrelwood
