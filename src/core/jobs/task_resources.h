// The resources of a machine that tasks use, reserve or leave free.
#pragma once

#include "core/model/job.h"
#include "core/model/machine_type.h"

namespace sorrelwood {

struct TaskResources {
  double cpus = 0;  // cores
  double gpus = 0;  // devices
  double memory_gb = 0;
  // Of the worker's report: a task takes its entry there until the worker has
  // forgotten it.
  double report_bytes = 0;

  TaskResources& operator+=(const TaskResources& other);
  TaskResources& operator-=(const TaskResources& other);
  // Whether a task that uses these resources fits into `free`; sums drift by
  // rounding, so a small excess is allowed. A task of less than a core leaves
  // the part of the report that the remaining cores may need.
  bool FitInto(const TaskResources& free) const;
};

TaskResources operator+(TaskResources left, const TaskResources& right);
TaskResources operator-(TaskResources left, const TaskResources& right);

// The resources that one task of the job uses.
TaskResources ResourcesPerTask(const JobSpec& spec);
// The resources of an empty machine of the type.
TaskResources ResourcesOf(const MachineType& type);

}  // namespace sorrelwood
