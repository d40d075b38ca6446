// Scale-out at a premium: dearer machines, for jobs that would miss their
// deadlines or objectives on those that cost least.
#pragma once

#include <map>
#include <string>

#include "core/autoscaling/demand_estimator.h"
#include "core/autoscaling/expected_capacity.h"
#include "core/autoscaling/offer_selector.h"
#include "core/autoscaling/scale_out_plan.h"
#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/model/settings.h"

namespace sorrelwood {

class PremiumScaleOut {
 public:
  // The pointers must outlive this object.
  PremiumScaleOut(const Context* context, JobTable* jobs,
                  const OfferCatalog* catalog, const DemandEstimator* demand,
                  const ExpectedCapacity* capacity,
                  const ClusterSettings* settings, const PolicySettings& policy)
      : context_(context),
        jobs_(jobs),
        catalog_(catalog),
        capacity_(capacity),
        settings_(settings),
        selector_(catalog, demand, policy.backlog_limit_s),
        window_s_(policy.premium_backlog_limit_s) {}

  // Adds machines, at any price, for jobs that the capacity that is there and
  // in `plan` would finish too late.
  void Plan(ScaleOutPlan* plan);

 private:
  // All work up to some place in the queue against all capacity.
  struct Balance {
    double cpus = 0;
    double work_cpu_seconds = 0;
  };

  Balance CurrentBalance(const ScaleOutPlan& plan) const;
  double LongestBootS() const;
  bool MayNeedPremium(const Job& job) const;
  // How long the job's work may take (s).
  double TimeAllowedS(const Job& job, double boot_s) const;
  // What the job's team may run at most within `time_s`.
  double TeamLimitCpuSeconds(const Job& job, double time_s) const;

  const Context* context_;
  JobTable* jobs_;
  const OfferCatalog* catalog_;
  const ExpectedCapacity* capacity_;
  const ClusterSettings* settings_;
  const OfferSelector selector_;
  const double window_s_;
};

}  // namespace sorrelwood
