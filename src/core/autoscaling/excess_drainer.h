// Scale-in: which machines are in excess of what the work needs, and moving
// what runs there elsewhere.
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

  // Marks the dearest machines (FleetRole::excess) as long as the others can do
  // all the work there is within the operators' drain time. Marked machines get
  // no more of it: they empty, and are released when idle. Those whose tasks
  // can save their progress are drained.
  void Run();

 private:
  std::vector<Machine*> InServiceByRank();
  double DemandCpus(const std::vector<Machine*>& machines) const;
  static void MarkExcess(const std::vector<Machine*>& machines,
                         double demand_cpus);
  void DrainExcess(const std::vector<Machine*>& machines);
  bool MayDrain(const Machine& machine, bool premium) const;
  void Drain(Machine* machine);

  Context* context_;
  JobTable* jobs_;
  MachineTable* machines_;
  const DemandEstimator* demand_;
  const double window_s_;
};

}  // namespace sorrelwood
