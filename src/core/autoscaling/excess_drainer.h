// Scale-in: determines the machines in excess of the demand, and drains them.
#pragma once

#include <vector>

#include "core/autoscaling/demand_estimator.h"
#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/model/settings.h"

namespace sorrelwood {

class ExcessDrainer {
 public:
  // The pointers must outlive this object.
  ExcessDrainer(Context* context, JobTable* jobs, MachineTable* machines,
                const DemandEstimator* demand, const PolicySettings& policy)
      : context_(context),
        jobs_(jobs),
        machines_(machines),
        demand_(demand),
        window_s_(policy.backlog_limit_s) {}

  // Marks the most expensive machines as excess (FleetRole::excess) as long as
  // the others can do all present work within the operators' backlog limit.
  // Marked machines get no further tasks: they become empty, and are released
  // when idle. Those whose tasks can write checkpoints are drained.
  void Run();

 private:
  std::vector<Machine*> InServiceByRank();
  // CPUs in use, and those that do the startable work within `window_s_`.
  double EstimateDemandCpus(const std::vector<Machine*>& machines) const;
  static void MarkExcess(const std::vector<Machine*>& machines,
                         double demand_cpus);
  void DrainExcess(const std::vector<Machine*>& machines);
  bool MayDrain(const Machine& machine, bool premium) const;
  void Drain(Machine* machine);

  Context* context_;
  JobTable* jobs_;
  MachineTable* machines_;
  const DemandEstimator* demand_;
  const double window_s_;  // time within which queued work must be done
};

}  // namespace sorrelwood
