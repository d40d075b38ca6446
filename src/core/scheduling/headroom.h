// Capacity headroom: room that is to exist for replicas that are yet to come,
// since a boot takes longer than a replica may wait.
#pragma once

#include <string>
#include <vector>

#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/scheduling/admission.h"
#include "core/scheduling/slots.h"

namespace sorrelwood {

// The headroom of one class. Other work may use it meanwhile as far as it can
// be preempted.
struct Headroom {
  std::string job_class;
  ClassProfile profile;
  double slots = 0;  // for so many replicas

  // Slots in one zone that count towards it.
  double SlotsPerZone() const {
    return sorrelwood::SlotsPerZone(profile, slots);
  }
};

class HeadroomForecast {
 public:
  // All must outlive this object.
  HeadroomForecast(const Context* context, const JobTable* jobs,
                   MachineTable* machines, const Admission* admission)
      : context_(context),
        jobs_(jobs),
        machines_(machines),
        admission_(admission) {}

  // One entry for every class of services that has been seen.
  std::vector<Headroom> Needs() const;

 private:
  // What arrives while a machine boots, and kHeadroomExtraJobs jobs more. None for a
  // class of which nothing has come for kHeadroomRetentionS, or that its team's
  // quota does not allow: prevents paying without end for room that nobody
  // uses.
  double SlotsFor(const ClassProfile& profile) const;
  // The boot time of the quickest type in the fleet (s); 0 without machines.
  double ShortestBootS() const;

  const Context* context_;
  const JobTable* jobs_;
  MachineTable* machines_;
  const Admission* admission_;
};

}  // namespace sorrelwood
