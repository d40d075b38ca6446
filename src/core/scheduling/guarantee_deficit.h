// Guarantee deficit: runnable work within its team's guarantee that finds no
// room, and the machines that are kept for it.
#pragma once

#include <vector>

#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/scheduling/admission.h"
#include "core/scheduling/eligibility.h"

namespace sorrelwood {

class GuaranteeDeficit {
 public:
  // All must outlive this object.
  GuaranteeDeficit(const JobTable* jobs, const Admission* admission,
                   const Eligibility* eligibility)
      : jobs_(jobs), admission_(admission), eligibility_(eligibility) {}

  // Those of the jobs that still have a task to be placed in the guarantee
  // pass.
  std::vector<const Job*> JobsInDeficit(const std::vector<Job*>& jobs) const;

  // The machine is kept free of the job for one of the jobs in deficit.
  // Prevents long work beyond a guarantee from taking, core by core, the room
  // that a larger task within one waits for. Work that is over before another
  // machine would be up is let through.
  bool IsKeptFrom(const Job& job, const Machine& machine,
                  const std::vector<const Job*>& in_deficit) const;

  // The machine could run a task of the job if it were empty.
  bool FitsWhenEmpty(const Job& job, const Machine& machine) const;

 private:
  const JobTable* jobs_;
  const Admission* admission_;
  const Eligibility* eligibility_;
};

}  // namespace sorrelwood
