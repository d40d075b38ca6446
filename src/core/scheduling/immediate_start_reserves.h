// Capacity that is kept free for job classes whose tasks must start
// immediately: services, and classes with a wait objective of
// kImmediateStartWithinS or less.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/scheduling/eligibility.h"

namespace sorrelwood {

// The reserves are measured over all machines once per placement pass, which is
// expensive. Between passes a machine is recounted when it reports or gets a
// task; otherwise capacity that became free there would stay empty until the
// next pass.
class ImmediateStartReserves {
 public:
  // All arguments must outlive this object.
  ImmediateStartReserves(Context* context, const JobTable* jobs,
                         MachineTable* machines,
                         const ClusterSettings* settings,
                         const Eligibility* eligibility)
      : context_(context),
        jobs_(jobs),
        machines_(machines),
        settings_(settings),
        eligibility_(eligibility) {}

  // Must be called when a pass skips Measure: the reserves may then be
  // outdated, and the next MeasureIfStale measures again.
  void Invalidate() { stale_ = true; }
  void Measure();
  void MeasureIfStale() {
    if (stale_) Measure();
  }
  // Updates the reserves after the machine's free capacity has changed.
  void Recount(Machine* machine);

  // True if the job's class has a reserve.
  bool IsReservedFor(const Job& job) const;
  // False if one more task of the job on the machine takes free slots of a
  // class whose reserve the job may not use, and the remaining slots don't
  // cover the reserve.
  bool LeavesReservesCovered(const Job& job, const Machine& machine) const;

 private:
  struct Reserve {
    std::string job_class;
    ClassProfile profile;
    double slots = 0;                          // to keep free
    std::map<std::string, double> free_slots;  // currently, by zone
    // Returns the free slots in all zones that count towards `slots`.
    double CountCoveredSlots() const;
  };

  std::vector<std::string> ReservedClasses() const;
  // Counts the free slots of the reserve at `index` on all machines. Returns
  // the slots that all machines would have if they were empty.
  double CountFreeSlots(size_t index, Reserve* reserve);
  static double SlotsToReserve(const ClassProfile& profile, double all_slots);
  bool MayUse(const Job& job, const Reserve& reserve) const;

  Context* context_;
  const JobTable* jobs_;
  MachineTable* machines_;
  const ClusterSettings* settings_;
  const Eligibility* eligibility_;
  // Machine::reserve_slots holds the machine's contribution to free_slots of
  // each reserve, in the order of this list.
  std::vector<Reserve> reserves_;
  bool stale_ = true;
};

}  // namespace sorrelwood
