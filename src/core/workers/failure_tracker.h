// Decides whether the job or the machine is at fault when tasks fail.
//
// A job that has succeeded somewhere is not at fault; one that has failed on
// several machines and succeeded nowhere is. Until that is known a failure
// counts once against the machine.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/workers/quarantine.h"

namespace sorrelwood {

class FailureTracker {
 public:
  FailureTracker(Context* context, MachineTable* machines,
                 Quarantine* quarantine)
      : context_(context), machines_(machines), quarantine_(quarantine) {}

  // An attempt of the task exited with an error on the machine.
  void OnTaskFailed(Machine* machine, Job* job, uint32_t task);
  // A task ran as it should on the machine: earlier failures there do not show
  // that the machine is at fault.
  void OnTaskSucceeded(Machine* machine);
  // A task of the job ran as it should somewhere: its failures count against
  // the machines that it failed on.
  void OnTaskSucceeded(Job* job);

 private:
  // Retries happen with exponential backoff. Guards against a job that fails
  // everywhere and takes the capacity of others with its retries.
  void BackOff(Job* job) const;
  void ReassessMachines(const std::set<std::string>& names);

  Context* context_;
  MachineTable* machines_;
  Quarantine* quarantine_;
};

}  // namespace sorrelwood
