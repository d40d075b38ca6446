// Decides whether the job or the machine is at fault when tasks fail.
//
// A job with a success on any machine is not at fault. A job that has failed on
// several machines without any success is. While neither is known, the job's
// failures count once against each machine.
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

  // Handles an attempt of the task that exited with an error on the machine.
  void OnTaskFailed(Machine* machine, Job* job, uint32_t task);
  // A task succeeded on the machine: earlier failures there no longer indicate
  // that the machine is at fault.
  void OnTaskSucceeded(Machine* machine);
  // A task of the job succeeded on some machine: the job's failures now count
  // against the machines that it failed on.
  void OnTaskSucceeded(Job* job);

 private:
  // Delays the next retry with exponential backoff, so that the retries of a
  // job that fails on every machine do not take capacity from other jobs.
  void BackOff(Job* job) const;
  void ReassessMachines(const std::set<std::string>& machine_names);

  Context* context_;
  MachineTable* machines_;
  Quarantine* quarantine_;
};

}  // namespace sorrelwood
