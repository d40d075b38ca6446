// Room that is kept free for job classes whose tasks are to start at once:
// services, and classes with an objective of a wait of kImmediateStartWithinS
// or less.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/scheduling/eligibility.h"

namespace sorrelwood {

// Measured over the fleet once a pass, since that costs a look at all machines.
// In between each machine is recounted when it reports or gets a task: room
// that has come free there must count, or it would stay empty until the next
// pass.
class ImmediateStartReserves {
 public:
  // All must outlive this object.
  ImmediateStartReserves(Context* context, const JobTable* jobs,
                         MachineTable* machines,
                         const ClusterSettings* settings,
                         const Eligibility* eligibility)
      : context_(context),
        jobs_(jobs),
        machines_(machines),
        settings_(settings),
        eligibility_(eligibility) {}

  // The fleet may change unseen from now on: measures before the next use.
  void Invalidate() { stale_ = true; }
  void Measure();
  void MeasureIfStale() {
    if (stale_) Measure();
  }
  // The machine's free room has changed.
  void Recount(Machine* machine);

  // The job's class has a reserve.
  bool IsReservedFor(const Job& job) const;
  // A task of the job on the machine leaves every reserve of other classes
  // covered, or is allowed to use it.
  bool LeavesReservesCovered(const Job& job, const Machine& machine) const;

 private:
  struct Reserve {
    std::string job_class;
    ClassProfile profile;
    double slots = 0;                          // that are to stay free
    std::map<std::string, double> free_slots;  // now, by zone
    // Free slots that count towards it, in all zones.
    double Covered() const;
  };

  std::vector<std::string> ReservedClasses() const;
  // Counts the free slots of the `index`-th reserve over the fleet. Returns the
  // slots that there would be if all machines were empty.
  double CountFreeSlots(size_t index, Reserve* reserve);
  static double SlotsToReserve(const ClassProfile& profile, double all_slots);
  bool MayUse(const Job& job, const Reserve& reserve) const;

  Context* context_;
  const JobTable* jobs_;
  MachineTable* machines_;
  const ClusterSettings* settings_;
  const Eligibility* eligibility_;
  // Machine::reserve_slots holds each machine's part of free_slots, in the
  // order of this list.
  std::vector<Reserve> reserves_;
  bool stale_ = true;
};

}  // namespace sorrelwood
