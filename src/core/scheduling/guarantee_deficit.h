// Guarantee deficit: runnable tasks within their team's guarantee for which no
// machine has room, and the machines that are withheld from other jobs for
// them.
#pragma once

#include <vector>

#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/scheduling/admission.h"
#include "core/scheduling/eligibility.h"

namespace sorrelwood {

class GuaranteeDeficit {
 public:
  // All arguments must outlive this object.
  GuaranteeDeficit(const JobTable* jobs, const Admission* admission,
                   const Eligibility* eligibility)
      : jobs_(jobs), admission_(admission), eligibility_(eligibility) {}

  // Returns those of the jobs that have a task to place in the guarantee pass.
  // After that pass these are the jobs for whose next task it found no room.
  std::vector<const Job*> FindJobsInDeficit(
      const std::vector<Job*>& jobs) const;

  // True if the job may not use the machine because a job in deficit could run
  // there. Otherwise long tasks beyond a guarantee would take, core by core,
  // the capacity that a larger guaranteed task waits for. Tasks expected to end
  // within the boot time of such a machine are not held back.
  bool IsWithheldFrom(const Job& job, const Machine& machine,
                      const std::vector<const Job*>& in_deficit) const;

  // True if the machine could run a task of the job if it were empty.
  bool FitsWhenEmpty(const Job& job, const Machine& machine) const;

 private:
  const JobTable* jobs_;
  const Admission* admission_;
  const Eligibility* eligibility_;
};

}  // namespace sorrelwood
