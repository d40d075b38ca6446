// Slots: how many tasks of the usual job of a class a machine has room for, by
// cores and memory. All counts are whole numbers.
#pragma once

#include "core/jobs/class_profile.h"
#include "core/machines/machine_table.h"
#include "core/model/job.h"
#include "core/model/machine_type.h"

namespace sorrelwood {

// Slots in what is free on the machine; 0 where the class is not allowed or
// that is to be drained.
double FreeSlots(const Machine& machine, const ClassProfile& profile);
// The same once a task of `task` runs there too.
double FreeSlotsBeside(const Machine& machine, const ClassProfile& profile,
                       const JobSpec& task);
// The same if the machine held no tasks.
double SlotsWhenEmpty(const Machine& machine, const ClassProfile& profile);
// The same without the tasks that may be preempted for the class: those of job
// arrays of lower priority.
double PreemptibleSlots(const Machine& machine, const ClassProfile& profile);

// Slots on an empty machine of the type.
double SlotsOnType(const MachineType& type, const ClassProfile& profile);

// Slots in one zone that count towards `slots` in all: a job that is spread
// can't have more than half of its tasks in one zone.
double SlotsPerZone(const ClassProfile& profile, double slots);

}  // namespace sorrelwood
