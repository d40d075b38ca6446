// The leader's view of one unfinished job: the progress of its tasks, its
// failures, and what the policies have decided about it. Times are seconds of
// the steady clock unless they are called wall time.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/interval_set.h"
#include "core/jobs/wait_features.h"
#include "core/model/job.h"
#include "core/model/stored_records.h"

namespace sorrelwood {

// The state of each task of a job. Invariant, maintained by JobTable: each task
// is pending, placed (has an entry in machine_of_task) or done. A pending task
// is neither placed nor done; a done task stays placed until its machine has
// released it. Sets of tasks are stored as ranges; only placed tasks need an
// entry each.
struct TaskProgress {
  IntervalSet pending;
  IntervalSet done;       // completed, as reported by their machines
  IntervalSet committed;  // completed, and recorded in the state service
  std::map<uint32_t, std::string> machine_of_task;
  // Number of placed tasks by zone. Has no entries of 0.
  std::map<std::string, uint32_t> attempts_in_zone;

  bool AnyPlaced() const { return !machine_of_task.empty(); }
};

// The decisions of the waiting policy about the job's tasks, see WaitingPolicy.
struct SpeculationState {
  // Pending tasks that were stopped at the speculation limit and wait for owned
  // capacity, with the time at which the wait began.
  std::map<uint32_t, double> waiting_for_owned_since;
  // Tasks that may run on rented machines to their end.
  IntervalSet run_on_rented;
  // Run time (s) of earlier attempts that were stopped to move the task to
  // another machine. It counts towards the speculation limit.
  std::map<uint32_t, double> ran_before_move_s;
  // The state of the cluster at the job's arrival; nothing until the policy's
  // first tick after it.
  std::optional<FeatureVector> arrival_features;
  // The wait predictor has learnt the job's wait.
  bool wait_sampled = false;
};

// The failures of a job. `machines_failed_on`, `failed_rounds` and `retry_at`
// are reset when a task completes or a replica becomes stable.
struct FailureHistory {
  std::set<std::string> machines_failed_on;
  int failed_rounds = 0;     // number of backoff pauses so far
  double retry_at = 0;       // no task of the job starts earlier
  double last_error_at = 0;  // 0 before the first failure
  // Failure counts of single tasks of a job whose other tasks succeed.
  std::map<uint32_t, int> task_errors;
};

// Restarts of a replica that ended before it was stable.
struct ReplicaRestarts {
  int early_ends = 0;     // in a row
  double not_before = 0;  // earliest time of the next start
};

// What is known about the replicas of a service; empty for a job array.
struct ReplicaState {
  // A replica has run for kReplicaStableS, which shows that the job works.
  bool succeeded = false;
  // A replica ended by itself after running for at least kReplicaStableS; ends
  // of this job's replicas are no evidence against a machine.
  bool ends_by_itself = false;
  std::map<uint32_t, ReplicaRestarts> restarts;  // by task

  // True if the replica has ended early several times and must not restart yet.
  bool InRestartBackoff(uint32_t task, double now) const;
};

// The values that decide the job's place in the queue besides its
// specification, as of the latest JobTable::Rank. QueueOrder defines how they
// are compared.
struct QueuePosition {
  bool starving = false;          // waited for kStarvationAgeS without a start
  bool within_guarantee = false;  // fits into its team's guarantee
  bool late = false;              // can't meet any of its objectives any more
  int size_class = 0;             // binary logarithm of the CPU-seconds left
  double team_backlog_s = 0;      // time to run the team's work at its quota
};

struct Job {
  std::shared_ptr<const LiveJob> record;
  uint64_t version = 0;  // of the record in the state service
  // The job existed before this leader's term: an earlier leader may have
  // placed some of its tasks on machines that have not reported yet.
  bool from_earlier_term = false;
  bool finishing = false;  // the transaction that ends it is in flight
  double queued_at = 0;    // when this leader first saw it

  TaskProgress progress;
  SpeculationState speculation;
  FailureHistory failures;
  ReplicaState replicas;
  QueuePosition queue_position;

  const JobSpec& spec() const { return record->spec; }
  const std::string& id() const { return record->spec.id; }

  // True if a task has completed or a replica has become stable.
  bool succeeded() const;
  // True if the job has not succeeded yet and has failed on at least
  // kFailingJobMachines machines. One task is then tried at a time, and only
  // this task counts in demand and guarantees; otherwise a job that fails
  // everywhere would take capacity from others.
  bool failing() const;
  // True if the job has not succeeded yet and has failed on at least
  // kBrokenJobMachines machines, enough to rule out that they are at fault.
  bool broken() const;
  // Returns how many pending tasks may start now: replicas in restart backoff
  // are left out, and a failing job has at most one.
  uint32_t CountRunnableTasks(double now) const;
  // Returns the seconds from the submission to the wall time `wall_s`.
  double AgeAt(double wall_s) const {
    return wall_s - record->submitted_wall_s;
  }
};

}  // namespace sorrelwood
