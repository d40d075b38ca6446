// Moves running tasks off crowded and slow machines. A move stops the task,
// waits for proof that it is off its machine, and starts it as a new attempt on
// the target machine, where capacity was reserved for it. The new attempt is
// subject to the same placement rules as any other (docs/load-spread.md).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/balance/imbalance.h"
#include "core/balance/load_bounds.h"
#include "core/balance/machine_sets.h"
#include "core/balance/move_budget.h"
#include "core/balance/speed_tracker.h"
#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/model/spread_settings.h"
#include "core/scheduling/placement.h"

namespace sorrelwood {

enum class MoveReason { kCrowded, kSlow };

// Why a move was abandoned. Its task, if not done, is then placed like any
// other.
enum class MoveFailure {
  kTooLate,          // the task was not proved to be off its machine in time
  kJobEnded,         // the task is done, or its job done or cancelled
  kTargetLost,       // the target machine can no longer take the task
  kStartNotAllowed,  // the task may not be started now
};

class Rebalancer {
 public:
  Rebalancer(Context* context, JobTable* jobs, MachineTable* machines,
             Placement* placement, const ClusterSettings* settings,
             const SpreadSettings& spread)
      : context_(context),
        jobs_(jobs),
        machines_(machines),
        placement_(placement),
        spread_(spread),
        bounds_(jobs, machines, settings, spread),
        meter_(&bounds_),
        budget_(spread) {}

  // Measures the imbalance and, if `may_dispatch`, starts moves. Does nothing
  // unless moves are enabled in the settings.
  void Tick(bool may_dispatch);
  // Called after JobTable::MarkUnplaced, when the task is proved to be off its
  // machine. If the task is being moved, it is assigned to the target machine
  // or, where this is not possible, its move is abandoned.
  void OnTaskReleased(Job* job, uint32_t task, uint64_t term);
  // Called when the task is complete: abandons its move, if any. Must be called
  // before OnTaskReleased for the same attempt.
  void OnTaskDone(const std::string& job, uint32_t task);
  void OnJobEnded(const std::string& job);
  // Called when no tasks may be placed on the machine any more.
  void OnMachineGone(const std::string& machine);
  // Records the run time of a job array's task that ran to its end without
  // interruption.
  void LearnRunTime(const std::string& job, const std::string& machine,
                    double ran_s);
  // Forgets all moves in flight, when leadership is lost.
  void Clear();

  struct Statistics {
    double imbalance = 0;
    size_t in_flight = 0;  // moves, each with reserved capacity
    uint64_t started = 0, finished = 0;
    std::map<MoveFailure, uint64_t> abandoned;
  };
  Statistics CollectStatistics() const;

 private:
  struct Move {
    std::string from, to;
    TaskResources resources;  // reserved on `to`
    double started_at = 0;
  };
  using Moves = std::map<TaskId, Move>;

  // Returns whether tasks should be moved off crowded machines now.
  bool UpdateReducingImbalance();
  void MoveTasksOffCrowdedMachines(const std::vector<CrowdedMachine>& crowded);
  void MoveTasksOffSlowMachines();
  void CollectTargets();
  // Moves tasks off the machine until its excess is gone or no task can be
  // moved.
  void MoveExcessTasks(CrowdedMachine* crowded);
  // Whether the task loses little progress by a move and has enough run time
  // left.
  bool IsWorthMoving(const TaskId& task_id, const TaskAttempt& attempt) const;
  // Returns the target for a task of the job, or null.
  Machine* ChooseTarget(const Job& job, const Machine& from);
  bool CanMoveTo(const Machine& target, const Job& job,
                 const Machine& from) const;
  // Starts a move unless the rate limits forbid it.
  void StartMove(const TaskId& task_id, TaskAttempt* attempt, Machine* from,
                 Machine* target, MoveReason reason);
  void AbandonMove(Moves::iterator move, MoveFailure failure);
  void ReleaseCapacity(const Move& move);
  // Abandons overdue moves, and forgets moves whose cooldown is over.
  void ExpireMoves();

  Context* context_;
  JobTable* jobs_;
  MachineTable* machines_;
  Placement* placement_;
  SpreadSettings spread_;
  LoadBounds bounds_;
  ImbalanceMeter meter_;
  MoveBudget budget_;
  SpeedTracker speeds_;
  MachineSets targets_;
  Moves moves_;  // in flight
  // When a move of the task last started, for the cooldown.
  std::map<TaskId, double> moved_at_;

  double imbalance_ = 0;
  // Since when the imbalance is at least `start_imbalance`; 0: it is below.
  double imbalanced_since_ = 0;
  bool reducing_imbalance_ = false;  // tasks are moved off crowded machines
  double cooldown_until_ = 0;
  double next_tick_at_ = 0;
  uint64_t started_ = 0, finished_ = 0;
  std::map<MoveFailure, uint64_t> abandoned_;
};

// Texts for logs and metrics.
std::string ToString(MoveReason reason);
std::string ToString(MoveFailure failure);

}  // namespace sorrelwood
