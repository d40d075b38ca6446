// Placement: decides which pending task starts on which machine. A pass matches
// the first jobs of the queue with machines that have free capacity: first for
// each team up to its guarantee, then in the order of the queue.
#pragma once

#include <cstdint>
#include <vector>

#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/scheduling/admission.h"
#include "core/scheduling/bin_packing.h"
#include "core/scheduling/eligibility.h"
#include "core/scheduling/guarantee_deficit.h"
#include "core/scheduling/guarantee_preemption.h"
#include "core/scheduling/headroom.h"
#include "core/scheduling/immediate_start_reserves.h"
#include "core/scheduling/placement_spread.h"

namespace sorrelwood {

class Placement {
 public:
  // All arguments must outlive this object.
  Placement(Context* context, JobTable* jobs, MachineTable* machines,
            const ClusterSettings* settings);
  // Not copyable: its members hold pointers to one another.
  Placement(const Placement&) = delete;
  Placement& operator=(const Placement&) = delete;

  // Null turns load spread off. Must outlive this object.
  void set_spread(PlacementSpread* spread);

  const Eligibility& eligibility() const { return eligibility_; }
  Admission& admission() { return admission_; }
  const Admission& admission() const { return admission_; }
  const HeadroomForecast& headroom() const { return headroom_; }

  // Matches the first jobs of the queue with the machines that have free
  // capacity. `term` is the leader's term and becomes part of attempt numbers.
  void RunPass(uint64_t term);
  // Places tasks in the free capacity of one machine, whose report is being
  // handled.
  void FillMachine(Machine* machine, uint64_t term);
  // Starts the task on the machine as a new attempt, without further checks.
  void Assign(Job* job, uint32_t task, Machine* machine, uint64_t term);

  // Stops tasks to make room for jobs in guarantee deficit, see
  // GuaranteePreemption.
  void PreemptForGuarantees();

 private:
  // Limits which tasks of a job are placed.
  struct Restrictions {
    bool guarantee_pass = false;  // only tasks of the guarantee pass
    CapacityClass capacity = CapacityClass::kAny;
    bool avoid_crowding = false;  // stop before a task would crowd the machine
  };

  std::vector<Job*> SelectJobsForPass();
  std::vector<Machine*> SelectMachinesForPass(const std::vector<Job*>& jobs);
  // Places tasks of the job, each time on the best candidate, until no
  // candidate fits or the restrictions end it.
  void PlaceOnBestFits(Job* job, const std::vector<Machine*>& candidates,
                       const std::vector<const Job*>& in_deficit,
                       Restrictions restrictions, uint64_t term);
  // Places tasks of the job on the machine until the job has no runnable task,
  // the machine is full or the restrictions end it. False if it placed none.
  bool PlaceOn(Machine* machine, Job* job, const Restrictions& restrictions,
               uint64_t term);
  bool MayPlaceOn(const Machine& machine, const Job& job,
                  const Restrictions& restrictions) const;

  Context* context_;
  JobTable* jobs_;
  MachineTable* machines_;
  const ClusterSettings* settings_;
  PlacementSpread* spread_ = nullptr;
  Eligibility eligibility_;
  Admission admission_;
  HeadroomForecast headroom_;
  ImmediateStartReserves reserves_;
  GuaranteeDeficit deficit_;
  BinPacker packer_;
  GuaranteePreemption guarantee_preemption_;
  uint32_t attempt_counter_ = 0;  // since the process started
};

}  // namespace sorrelwood
