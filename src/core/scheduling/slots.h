// Slots: the number of tasks of a class's typical job that fit on a machine, by
// cores, memory and the size of the worker's report. All counts are whole
// numbers.
#pragma once

#include "core/jobs/class_profile.h"
#include "core/machines/machine_table.h"
#include "core/model/job.h"
#include "core/model/machine_type.h"

namespace sorrelwood {

// Returns the slots in the free capacity of the machine. 0 if the class's jobs
// don't allow its type, zone or spot flag, or if it is chosen for draining.
double FreeSlots(const Machine& machine, const ClassProfile& profile);
// The free slots after placing one more task, of specification `task`.
double FreeSlotsAfterPlacing(const Machine& machine,
                             const ClassProfile& profile, const JobSpec& task);
// The free slots if the machine ran no tasks.
double SlotsWhenEmpty(const Machine& machine, const ClassProfile& profile);
// The free slots if all tasks that the class may preempt were stopped: those of
// job arrays of lower priority.
double PreemptibleSlots(const Machine& machine, const ClassProfile& profile);

// Returns the slots on an empty machine of the type.
double SlotsOnType(const MachineType& type, const ClassProfile& profile);

// Returns how many slots in one zone count towards a total of `slots`: a job
// with `spread` may have at most half of its tasks in one zone.
double SlotsPerZone(const ClassProfile& profile, double slots);

}  // namespace sorrelwood
