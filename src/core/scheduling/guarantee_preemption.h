// Preemption for guarantees: a team gets back what it is guaranteed at once,
// not when the borrowers' tasks end (docs/design.md).
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
  // All must outlive this object.
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

  // Stops preemptible tasks of teams beyond their guarantee until the jobs in
  // deficit have room, as far as their teams' guarantees go.
  void MakeRoom(const std::vector<const Job*>& in_deficit);

 private:
  // What a machine has free, or will have once stopped tasks have ended. GPUs
  // are not counted.
  struct Room {
    Machine* machine = nullptr;
    double cpus = 0, memory_gb = 0;
    std::vector<TaskAttempt*> preemptible;

    bool Fits(const JobSpec& spec) const;
    // The same once all preemptible tasks are stopped.
    bool FitsAfterPreemption(const JobSpec& spec) const;
    void Take(const JobSpec& spec);
    void GiveBack(const TaskAttempt& attempt);
  };
  // What is still to be covered for one job.
  struct Demand {
    const Job* job = nullptr;
    double tasks = 0;
    double* deficit_cpus = nullptr;  // of its team

    // There is a task left, and its team's guarantee covers it.
    bool IsOpen() const;
  };

  void MeasureTeams();
  void MeasureRooms();
  Room MeasureRoom(Machine* machine);
  void Cover(Demand* demand, bool may_preempt);
  void CoverOn(Room* room, Demand* demand, bool may_preempt);
  // Stops tasks in the room until a task of the job fits or none is left.
  void PreemptUntilFits(const JobSpec& spec, Room* room);

  Context* context_;
  JobTable* jobs_;
  MachineTable* machines_;
  const ClusterSettings* settings_;
  const Eligibility* eligibility_;
  const GuaranteeDeficit* deficit_;

  // Of one run, by team: CPUs in use beyond the guarantee, and CPUs of the
  // guarantee that are not in use.
  std::map<std::string, double> beyond_cpus_, deficit_cpus_;
  std::vector<Room> rooms_;
};

}  // namespace sorrelwood
