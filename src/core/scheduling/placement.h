// Placement: decides which pending task starts on which machine. A pass matches
// the first jobs of the queue with the machines that have room: first every
// team up to its guarantee, then whoever is next in the queue.
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
  // All must outlive this object.
  Placement(Context* context, JobTable* jobs, MachineTable* machines,
            const ClusterSettings* settings);
  // Its parts point to one another.
  Placement(const Placement&) = delete;
  Placement& operator=(const Placement&) = delete;

  // Null: load is not spread. Must outlive this object.
  void set_spread(PlacementSpread* spread);

  // Which machines may run a job's tasks.
  const Eligibility& eligibility() const { return eligibility_; }
  // Which jobs may start tasks.
  Admission& admission() { return admission_; }
  const Admission& admission() const { return admission_; }
  // Capacity to be kept for services.
  const HeadroomForecast& headroom() const { return headroom_; }

  // Matches the first jobs of the queue with all machines that have room.
  // `term` is the leader's, and becomes part of the attempts' numbers.
  void RunPass(uint64_t term);
  // Fills the room of one machine, which is reporting just now.
  void FillMachine(Machine* machine, uint64_t term);
  // Starts the task on the machine as a new attempt. The caller has checked
  // that it may.
  void Assign(Job* job, uint32_t task, Machine* machine, uint64_t term);

  // Preempts for the teams' guarantees, see GuaranteePreemption.
  void PreemptForGuarantees();

 private:
  // Which tasks of a job are placed.
  struct Restrictions {
    bool guarantee_pass = false;  // only those of the guarantee pass
    CapacityClass capacity = CapacityClass::kAny;
    bool keep_spread = false;  // only until one more would crowd the machine
  };

  std::vector<Job*> JobsForPass();
  std::vector<Machine*> MachinesForPass(const std::vector<Job*>& jobs);
  // Places tasks of the job on the best machines until none is left that fits.
  void PlaceOnBestFits(Job* job, const std::vector<Machine*>& candidates,
                       const std::vector<const Job*>& in_deficit,
                       Restrictions restrictions, uint64_t term);
  // Places tasks of the job on the machine until one of the two is exhausted or
  // the restrictions end it. False where it could place none.
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
  uint32_t attempts_ = 0;  // of this process
};

}  // namespace sorrelwood
