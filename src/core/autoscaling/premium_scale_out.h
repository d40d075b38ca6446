// Scale-out at a premium: more expensive machines, for jobs that would miss
// their deadlines or objectives if only low-cost machines were provisioned.
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

  // Adds machines at any price for jobs that the expected capacity and `plan`
  // would finish too late.
  void Plan(ScaleOutPlan* plan);

 private:
  // The work up to a position in the queue, and the capacity for it.
  struct Balance {
    double cpus = 0;
    double work_cpu_seconds = 0;
  };

  // The balance before the first queued job.
  Balance ComputeBalance(const ScaleOutPlan& plan) const;
  // The longest boot time of all types.
  double FindLongestBootS() const;
  bool MayNeedPremium(const Job& job) const;
  // The time within which the job must be done.
  double ComputeAllowedTimeS(const Job& job, double longest_boot_s) const;
  // The most CPU seconds that the limit of the job's team allows within
  // `allowed_s`.
  double ComputeTeamLimitCpuSeconds(const Job& job, double allowed_s) const;

  const Context* context_;
  JobTable* jobs_;
  const OfferCatalog* catalog_;
  const ExpectedCapacity* capacity_;
  const ClusterSettings* settings_;
  const OfferSelector selector_;
  const double window_s_;  // planning window; longest allowed time of a job
};

}  // namespace sorrelwood
