// Which running tasks are stopped to make room for others.
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

  // Stops tasks of lower priority where replicas of services wait for room, as
  // few as it takes. Room that is coming free already is counted first.
  void PreemptForServices();

 private:
  // What a machine has free once its tasks that are told to stop have ended.
  struct Room {
    Machine* machine = nullptr;
    double cpus = 0, gpus = 0, memory_gb = 0;
    bool Fits(const JobSpec& spec) const;
    void Take(const JobSpec& spec);
    void Give(const TaskAttempt& attempt);
  };
  // Tasks to stop on one machine, and the core-seconds of work that it costs.
  struct Victims {
    std::vector<TaskAttempt*> attempts;
    double lost_work = 0;
  };

  std::vector<Room> Rooms() const;
  void MakeRoomFor(const Job& job, std::vector<Room>* rooms);
  // The least costly tasks whose end would make a task of the job fit; none
  // where that can't be.
  Victims Choose(const Job& job, const Room& room) const;
  // How many of `waiting` the team's limit lets run beside what it runs; where
  // that is too few, tasks of lower priority of the same team are stopped.
  uint32_t MakeRoomUnderLimit(const Job& job, uint32_t waiting);
  // It may be stopped for a task of the job.
  static bool MayStopFor(const Job& job, const TaskAttempt& attempt);
  // The core-seconds of work that stopping it costs.
  double LostWork(const TaskAttempt& attempt) const;

  Context* context_;
  JobTable* jobs_;
  MachineTable* machines_;
  const Placement* placement_;
  const ClusterSettings* settings_;
};

}  // namespace sorrelwood
