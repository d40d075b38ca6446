// Handles the exit of a task attempt. The exit reason decides whether the task
// is completed, retried at once or retried later, and whether the exit counts
// as a failure of the job or the machine.
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

  // Handles the machine's report that the attempt has exited. `attempt` is the
  // tracked attempt, which is removed and invalid on return, or null if the
  // attempt is not tracked.
  void OnExit(Machine* machine, const TaskStatus& task, TaskAttempt* attempt);

 private:
  // The properties of an attempt that are needed after its removal.
  struct EndedAttempt {
    bool was_tracked = false;
    bool requeue_for_baseline = false, requeue_on_rented = false;
    bool stop_requested = false;
    double ran_s = 0;  // 0: it never ran, or was not tracked
  };
  EndedAttempt SummarizeAttempt(const TaskAttempt* attempt) const;
  // Handles an attempt that exited with kDone.
  void OnExitDone(Machine* machine, Job* job, const TaskStatus& task,
                  double ran_s);
  void MarkCompleted(Job* job, uint32_t task);
  // Stops another attempt of the completed task, if there is one.
  void StopOtherAttempt(const Job& job, uint32_t task);
  // Marks a task that was stopped at the speculation limit, so that its next
  // attempt waits for baseline capacity or runs to the end on rented capacity.
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
