// Preemption for services: stops running tasks of lower priority to make room
// for pending replicas.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/scheduling/placement.h"

namespace sorrelwood {

class Preemption {
 public:
  Preemption(Context* context, JobTable* jobs, MachineTable* machines,
             const Placement* placement, const ClusterSettings* settings)
      : context_(context),
        jobs_(jobs),
        machines_(machines),
        placement_(placement),
        settings_(settings) {}

  // Stops as many tasks of lower priority as the pending replicas need, those
  // that lose the least work first. Capacity that is free or coming free is
  // used before tasks are stopped.
  void PreemptForServices();

 private:
  // The capacity that is free on a machine once the tasks that are being
  // stopped have ended.
  struct Room {
    Machine* machine = nullptr;
    TaskResources free;
  };
  // Tasks to stop on one machine.
  struct Victims {
    std::vector<TaskAttempt*> attempts;
    double lost_core_s = 0;  // work lost by stopping them (core-seconds)
  };

  std::vector<Room> CollectRooms() const;
  // Stops tasks until the pending replicas of the job fit. `rooms` is collected
  // when first needed and shared by all jobs of one run.
  void MakeRoomFor(const Job& job, std::vector<Room>* rooms);
  // Returns tasks to stop so that a task of the job fits, chosen by ascending
  // lost work; no tasks if it fits already or can't fit.
  Victims ChooseVictims(const Job& job, const Room& room) const;
  // Stops lower-priority tasks of the same team if the team's CPU quota is too
  // small to run `pending` further tasks of the job. Returns how many of them
  // the quota allows then.
  uint32_t MakeRoomUnderQuota(const Job& job, uint32_t pending);
  // True if the attempt may be stopped for a task of the job.
  static bool MayStopFor(const Job& job, const TaskAttempt& attempt);
  // Returns the work lost by stopping the attempt (core-seconds): the time to
  // save a checkpoint or, without checkpoints, the whole run so far.
  double LostCoreSeconds(const TaskAttempt& attempt) const;

  Context* context_;
  JobTable* jobs_;
  MachineTable* machines_;
  const Placement* placement_;
  const ClusterSettings* settings_;
};

}  // namespace sorrelwood
