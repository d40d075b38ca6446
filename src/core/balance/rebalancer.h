// Moves running tasks off crowded and slow machines. A move is a stop, the
// proof that the task is off its machine, and a start as a new attempt at a
// place that was held for it; every rule is kept by the same code that places
// any other task (docs/load-spread.md).
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

// Why a move was given up. What was stopped is then placed like any other task.
enum class MoveFailure {
  kTooLate,    // its machine did not let go of it in time
  kJobEnded,   // the task is done, or its job done or cancelled
  kPlaceLost,  // the machine that it was to move to can't take it any more
  kNotNow,     // the job may start nothing at this moment
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

  // Measures, and begins moves while `may_dispatch`. Does nothing unless load
  // spread is switched on.
  void Tick(bool may_dispatch);
  // The task is proved to be off its machine and is pending again: if it was
  // moving it goes to the place that is held for it.
  void Released(Job* job, uint32_t task, uint64_t term);
  // The task is complete: it moves nowhere. Called before its machine lets go
  // of it.
  void TaskDone(const std::string& job, uint32_t task);
  void OnJobEnded(const std::string& job);
  // Nothing may be placed on the machine any more.
  void OnMachineGone(const std::string& machine);
  // A task of an array ran to its end without interruption.
  void LearnRunTime(const std::string& job, const std::string& machine,
                    double ran_s);
  // Another leads: moves under way are forgotten with all machines.
  void Clear();

  struct Statistics {
    double imbalance = 0;
    size_t under_way = 0;  // moves, each with a place that is held
    uint64_t begun = 0, finished = 0;
    std::map<MoveFailure, uint64_t> given_up;
  };
  Statistics CollectStatistics() const;

 private:
  struct Move {
    std::string from, to;
    double cpus = 0, gpus = 0, memory_gb = 0;  // held at `to`
    double began_at = 0;
  };
  using Moves = std::map<TaskId, Move>;

  bool MayMove();
  void MoveOffCrowded(const std::vector<CrowdedMachine>& crowded);
  void MoveOffSlow();
  void CollectTargets();
  // Moves tasks off the machine until `excess` is gone or nothing more can.
  void Relieve(CrowdedMachine* crowded);
  // Whether it loses little by a move and has long to go.
  bool WorthMoving(const TaskId& key, const TaskAttempt& attempt) const;
  Machine* ChooseTarget(const Job& job, const Machine& from);
  bool CanTake(const Job& job, const Machine& target,
               const Machine& from) const;
  void Begin(const TaskId& key, TaskAttempt* attempt, Machine* from,
             Machine* to, MoveReason reason);
  void GiveUp(Moves::iterator move, MoveFailure failure);
  void ReleaseCapacity(const Move& move);
  void GiveUpLate();

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
  Moves moves_;
  std::map<TaskId, double> moved_at_;

  double imbalance_ = 0;
  double uneven_since_ = 0;  // 0: it is within the margin
  bool evening_out_ = false;
  double paused_until_ = 0;
  double next_tick_ = 0;
  uint64_t begun_ = 0, finished_ = 0;
  std::map<MoveFailure, uint64_t> given_up_;
};

// A word for logs and metrics.
std::string ToString(MoveReason reason);
std::string ToString(MoveFailure failure);

}  // namespace sorrelwood
