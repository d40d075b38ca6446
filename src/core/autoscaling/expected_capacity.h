// The machines that are up, booting or requested, and their free capacity.
#pragma once

#include <string>
#include <vector>

#include "core/autoscaling/offer_catalog.h"
#include "core/autoscaling/provisioning_requests.h"
#include "core/autoscaling/scale_out_plan.h"
#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"

namespace sorrelwood {

// One machine as the planners see it.
struct ExpectedMachine {
  const MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
  double cpus = 0;  // fewer than the type's while its boot is late
  // Free within the planning window; negative where the tasks take more.
  double free_cpu_seconds = 0;
};

// Whether the machine, up or booting, counts as capacity: its type is known and
// its existence confirmed, and it is neither quarantined, unreachable, being
// released nor under a preemption notice.
bool CountsAsCapacity(const Machine& machine);

class ExpectedCapacity {
 public:
  // All must outlive this object.
  ExpectedCapacity(const Context* context, JobTable* jobs,
                   MachineTable* machines, const OfferCatalog* catalog,
                   const ProvisioningRequests* requests)
      : context_(context),
        jobs_(jobs),
        machines_(machines),
        catalog_(catalog),
        requests_(requests) {}

  // Machines of the fleet in the order of names, then those of unanswered
  // requests in the order of requests. `window_s`: the planning window, from
  // now.
  std::vector<ExpectedMachine> ListExpected(double window_s) const;

  // CPUs of the fleet, of unanswered requests and of `plan`.
  double SumCpus(const ScaleOutPlan& plan) const;

 private:
  double UsedCpuSeconds(const TaskAttempt& attempt, const Job& job,
                        const MachineType& type, double window_s) const;

  const Context* context_;
  JobTable* jobs_;
  MachineTable* machines_;
  const OfferCatalog* catalog_;
  const ProvisioningRequests* requests_;
};

}  // namespace sorrelwood
