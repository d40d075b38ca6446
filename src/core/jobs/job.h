// The leader's view of one unfinished job: the progress of its tasks, its
// failures, and what the policies have decided about it. Times are of the
// steady clock (s) unless they are called wall time.
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

// Where the tasks of a job stand. Invariant, kept by JobTable: every task is
// pending, placed (it has an entry in machine_of_task) or done, and never
// pending together with one of the others; a task that is done stays placed
// until its machine has let go of it. Tasks are kept as ranges: only placed
// ones cost an entry each.
struct TaskProgress {
  IntervalSet pending;
  IntervalSet done;       // completed, as reported by their machines
  IntervalSet committed;  // completed, and recorded in the state service
  std::map<uint32_t, std::string> machine_of_task;
  std::map<std::string, uint32_t> attempts_in_zone;  // placed tasks; no zeros

  bool AnyPlaced() const { return !machine_of_task.empty(); }
};

// What the waiting policy has decided about the job's tasks, see WaitingPolicy.
struct SpeculationState {
  // Pending tasks that were killed at the speculation limit and wait for owned
  // capacity, with the time at which the wait began.
  std::map<uint32_t, double> waiting_since;
  // Tasks that run on rented machines to their end.
  IntervalSet run_on_rented;
  // How long earlier attempts ran that were stopped to move the task (s): that
  // time counts towards the speculation limit.
  std::map<uint32_t, double> ran_before_move_s;
  // The state of the cluster at the job's arrival; nothing before the first
  // tick of the policy.
  std::optional<FeatureVector> arrival_features;
  // The job's wait has been learnt by the wait predictor.
  bool wait_sampled = false;
};

// The failures of a job since a task of it last completed.
struct FailureHistory {
  std::set<std::string> machines;  // that tasks failed on
  int rounds = 0;                  // tries in a row that failed
  double retry_at = 0;             // nothing of the job starts before
  double last_error_at = 0;
  // Failures of single tasks of a job that succeeds otherwise.
  std::map<uint32_t, int> task_errors;
};

// A replica that ended soon after its start, once or several times in a row.
struct ReplicaRestarts {
  int quick_ends = 0;
  double not_before = 0;  // it is not started again before
};

// What is known about the replicas of a service; empty for a job array.
struct ReplicaState {
  // A replica has run for kReplicaStableS: the job works.
  bool succeeded = false;
  // A replica ended by itself after having run so long: its end is no fault of
  // its machine.
  bool ends_by_itself = false;
  std::map<uint32_t, ReplicaRestarts> restarts;  // by task

  // The replica keeps ending and is not to be started yet.
  bool InRestartBackoff(uint32_t task, double now) const;
};

// What decides the job's place in the queue besides its specification, as of
// the latest JobTable::Rank. QueueOrder tells how it is used.
struct QueuePosition {
  bool starving = false;      // nothing of it has run for kStarvationAgeS
  bool guaranteed = false;    // it lies within its team's guarantee
  bool late = false;          // it can't meet any of its objectives any more
  int size_class = 0;         // binary logarithm of its CPU-seconds left
  double team_backlog_s = 0;  // time that its team's work takes at the limit
};

struct Job {
  std::shared_ptr<const LiveJob> record;
  uint64_t version = 0;  // of the record in the state service
  // It existed before this leader's term: an earlier leader may have placed
  // tasks of it on machines that have not reported yet.
  bool from_earlier_term = false;
  bool finishing = false;  // the transaction that ends it is under way
  double queued_at = 0;    // when this leader first saw it

  TaskProgress progress;
  SpeculationState speculation;
  FailureHistory failures;
  ReplicaState replicas;
  QueuePosition queue_position;

  const JobSpec& spec() const { return record->spec; }
  const std::string& id() const { return record->spec.id; }

  // A task of it has completed, or a replica has run as it should.
  bool succeeded() const;
  // It has succeeded nowhere and failed on kFailingJobMachines: it is tried one
  // task at a time and claims no more than that. Prevents a job that fails
  // everywhere from taking capacity and guarantee from others.
  bool failing() const;
  // It has succeeded nowhere and failed on kBrokenJobMachines: so many that the
  // machines are not at fault.
  bool broken() const;
  // The number of pending tasks that may be started now: without replicas in
  // their restart backoff, and one at most while the job is failing.
  uint32_t RunnableTasks(double now) const;
  // Seconds since the submission at the wall time `wall`.
  double Age(double wall) const { return wall - record->submitted_wall_s; }
};

}  // namespace sorrelwood
