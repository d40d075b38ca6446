// Quarantines machines on which tasks fail: they are given no tasks, and are
// released in the end. Guards against a faulty machine on which every task of
// the queue fails in turn, and against jobs that fail everywhere and would take
// good machines out of service with them.
#pragma once

#include <cstddef>

#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"

namespace sorrelwood {

class Quarantine {
 public:
  Quarantine(Context* context, JobTable* jobs)
      : context_(context), jobs_(jobs) {}

  // Puts the machine into quarantine or takes it out, by the failures that are
  // counted against it.
  void Reassess(Machine* machine);

 private:
  // Failures on one machine, without those of jobs that fail everywhere.
  struct Evidence {
    int errors_of_succeeding_jobs = 0;  // jobs that succeed elsewhere
    size_t jobs_not_succeeded_yet = 0;  // job or machine may be at fault

    bool MachineAtFault() const;
    bool Suffices() const;
  };
  Evidence CollectEvidence(const Machine& machine) const;
  // Told to stop, so that they run elsewhere; with time to save where the job
  // saves checkpoints.
  void StopAllAttempts(Machine* machine) const;

  Context* context_;
  JobTable* jobs_;
};

}  // namespace sorrelwood
