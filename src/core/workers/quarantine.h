// Quarantines machines on which tasks fail: they receive no new tasks and are
// eventually released. Otherwise all queued tasks could fail on a faulty
// machine one after the other. Jobs that fail on every machine are disregarded,
// so that they do not put healthy machines out of service.
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

  // Starts or ends the machine's quarantine according to the failures that
  // count against it.
  void Reassess(Machine* machine);

 private:
  // Failures on one machine, without those of jobs that fail on every machine.
  struct Evidence {
    int errors_of_succeeding_jobs = 0;  // of jobs that succeed elsewhere
    size_t jobs_not_succeeded_yet = 0;  // the job or the machine is at fault

    bool ProvesMachineFault() const;
    bool JustifiesQuarantine() const;
  };
  Evidence CollectEvidence(const Machine& machine) const;
  // Stops the attempts so that their tasks run elsewhere, with a grace period
  // if the job saves checkpoints.
  void StopAllAttempts(Machine* machine) const;

  Context* context_;
  JobTable* jobs_;
};

}  // namespace sorrelwood
