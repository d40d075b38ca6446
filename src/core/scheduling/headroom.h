// Headroom: capacity provided in advance for replicas of future services, since
// booting a machine takes longer than a replica may wait.
#pragma once

#include <string>
#include <vector>

#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/scheduling/admission.h"
#include "core/scheduling/slots.h"

namespace sorrelwood {

// The headroom of one job class. Until it is needed, tasks that the class can
// preempt may use it.
struct Headroom {
  std::string job_class;
  ClassProfile profile;
  double slots = 0;  // number of replicas to have capacity for

  // Returns how many slots in one zone count towards `slots`.
  double SlotsPerZone() const {
    return sorrelwood::SlotsPerZone(profile, slots);
  }
};

class HeadroomForecast {
 public:
  // All arguments must outlive this object.
  HeadroomForecast(const Context* context, const JobTable* jobs,
                   MachineTable* machines, const Admission* admission)
      : context_(context),
        jobs_(jobs),
        machines_(machines),
        admission_(admission) {}

  // Returns one entry for each class of services that has had a job.
  std::vector<Headroom> ForecastNeeds() const;

 private:
  // Returns the slots for the jobs expected during one machine boot plus
  // kHeadroomExtraJobs more. 0 for a class without arrivals for
  // kHeadroomRetentionS, and never more than the team's quota allows; otherwise
  // unused capacity would be paid for indefinitely.
  double SlotsFor(const ClassProfile& profile) const;
  // Returns the shortest boot time of the machine types in use (s); 0 if there
  // are no machines.
  double ShortestBootS() const;

  const Context* context_;
  const JobTable* jobs_;
  MachineTable* machines_;
  const Admission* admission_;
};

}  // namespace sorrelwood
