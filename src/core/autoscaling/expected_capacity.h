// The machines that are up, booting or asked for, and what of them is free.
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

// One machine of the fleet as it is planned with.
struct ExpectedMachine {
  const MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
  double cpus = 0;  // fewer than the type's while its boot is late
  // Free within the planning window; negative where more runs there.
  double free_cpu_seconds = 0;
};

// The machine is counted on: it is up or booting, and is not about to go.
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

  // Machines of the fleet by name, then those that were asked for by request;
  // free time is counted within the next `window_s` seconds.
  std::vector<ExpectedMachine> Machines(double window_s) const;

  // CPUs of the fleet, of what was asked for, and of `plan`.
  double TotalCpus(const ScaleOutPlan& plan) const;

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
