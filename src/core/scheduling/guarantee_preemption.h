// Preemption for guarantees: stops tasks of teams that use more than their
// guarantee, so that another team gets its guarantee without waiting for those
// tasks to end (docs/design.md).
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/scheduling/eligibility.h"
#include "core/scheduling/guarantee_deficit.h"

namespace sorrelwood {

class GuaranteePreemption {
 public:
  // All arguments must outlive this object.
  GuaranteePreemption(Context* context, JobTable* jobs, MachineTable* machines,
                      const ClusterSettings* settings,
                      const Eligibility* eligibility,
                      const GuaranteeDeficit* deficit)
      : context_(context),
        jobs_(jobs),
        machines_(machines),
        settings_(settings),
        eligibility_(eligibility),
        deficit_(deficit) {}

  // Stops preemptible tasks of teams beyond their guarantee until the pending
  // tasks of the jobs in deficit fit, up to the guarantees of their teams.
  void MakeRoom(const std::vector<const Job*>& in_deficit);

 private:
  // The capacity that is free on a machine, including that of tasks that are
  // being stopped.
  struct Room {
    Machine* machine = nullptr;
    TaskResources free;
    std::vector<TaskAttempt*> preemptible;

    // True if the task fits once all preemptible tasks are stopped.
    bool FitsAfterPreemption(const TaskResources& task) const;
  };
  // The tasks of one job that still need capacity.
  struct Demand {
    const Job* job = nullptr;
    double tasks = 0;
    double* unused_guarantee_cpus = nullptr;  // of the job's team

    // True if a task is left and its team's guarantee covers it.
    bool IsOpen() const;
  };

  void MeasureTeams();
  void MeasureRooms();
  Room MeasureRoom(Machine* machine);
  // Allocates room to the demand's tasks on all machines. Stops tasks for it if
  // `may_preempt`, otherwise uses only capacity that is free or coming free.
  void CoverDemand(Demand* demand, bool may_preempt);
  void CoverDemandOn(Room* room, Demand* demand, bool may_preempt);
  // Stops preemptible tasks in the room until the task fits or no preemptible
  // task is left.
  void PreemptUntilFits(const TaskResources& task, Room* room);

  Context* context_;
  JobTable* jobs_;
  MachineTable* machines_;
  const ClusterSettings* settings_;
  const Eligibility* eligibility_;
  const GuaranteeDeficit* deficit_;

  // Valid during one run of MakeRoom, by team: CPUs in use beyond the guarantee
  // (negative below it), and CPUs of the guarantee that are not in use
  // (negative beyond it).
  std::map<std::string, double> cpus_beyond_guarantee_, unused_guarantee_cpus_;
  std::vector<Room> rooms_;
};

}  // namespace sorrelwood
