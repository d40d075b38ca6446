// Adapts the size of the fleet to the demand: provisions machines (scale-out)
// and releases them (scale-in). This class decides when each component runs;
// the components are in the other files of this folder.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/autoscaling/baseline.h"
#include "core/autoscaling/cloud_call_quota.h"
#include "core/autoscaling/demand_estimator.h"
#include "core/autoscaling/excess_drainer.h"
#include "core/autoscaling/expected_capacity.h"
#include "core/autoscaling/headroom_planner.h"
#include "core/autoscaling/idle_releaser.h"
#include "core/autoscaling/inventory_reconciler.h"
#include "core/autoscaling/low_cost_scale_out.h"
#include "core/autoscaling/machine_releases.h"
#include "core/autoscaling/offer_catalog.h"
#include "core/autoscaling/premium_scale_out.h"
#include "core/autoscaling/provisioning_requests.h"
#include "core/autoscaling/release_reason.h"
#include "core/coordination/state_limits.h"
#include "core/coordination/state_writer.h"
#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/scheduling/placement.h"

namespace sorrelwood {

class Autoscaler {
 public:
  // The pointers must outlive this object.
  Autoscaler(Context* context, JobTable* jobs, MachineTable* machines,
             Placement* placement, StateWriter* writer,
             const StateLimitTracker* limits, const ClusterSettings* settings,
             const PolicySettings& policy);
  // The components hold pointers to each other.
  Autoscaler(const Autoscaler&) = delete;
  Autoscaler& operator=(const Autoscaler&) = delete;

  // Takes over a catalogue read from the cloud. Until the first one the
  // autoscaler changes nothing.
  void UpdateCatalog(const std::vector<MachineType>& types);
  // Null if no catalogue has contained the type. The pointer stays valid.
  const MachineType* FindType(const std::string& name) const {
    return catalog_.FindType(name);
  }

  // Starts a term of this controller as leader: takes over the provisioning
  // requests of earlier leaders. The machine table must already hold the
  // recorded machines.
  void Load(uint64_t term, const std::vector<ProvisioningRecord>& records);
  // Drops the state of the term. Called when leadership is lost.
  void Clear();

  // Called every kTickIntervalS once failover recovery is complete.
  // `may_dispatch`: this leader may change the fleet now. Cloud calls not sent
  // by `dispatch_deadline` (steady clock, s) are dropped.
  void Tick(bool may_dispatch, double dispatch_deadline);

  // Releases the machine, unless its release is already in progress. Until the
  // cloud confirms the release, its tasks count as running there.
  void Release(Machine* machine, ReleaseReason reason) {
    releases_.Release(machine, reason);
  }
  // Called when the machine's own record is committed.
  void OnMachineRecorded(const std::string& machine) {
    requests_.OnMachineRecorded(machine);
  }

  // Whether the cloud's inventory has been read since this leader was elected.
  bool inventory_known() const { return inventory_.known(); }
  // CPUs that are kept regardless of the demand.
  double baseline_target_cpus() const { return baseline_.target_cpus(); }

  // Called when the cloud has confirmed that the machine no longer exists.
  std::function<void(Machine*)> on_machine_gone;

 private:
  void ScaleOut();

  Context* context_;
  MachineTable* machines_;
  const Placement* placement_;
  const ClusterSettings* settings_;
  OfferCatalog catalog_;
  CloudCallQuota quota_;
  ProvisioningRequests requests_;
  MachineReleases releases_;
  InventoryReconciler inventory_;
  DemandEstimator demand_;
  ExpectedCapacity capacity_;
  LowCostScaleOut low_cost_scale_out_;
  PremiumScaleOut premium_scale_out_;
  HeadroomPlanner headroom_planner_;
  Baseline baseline_;
  ExcessDrainer excess_drainer_;
  IdleReleaser idle_releaser_;
  double next_plan_at_ = 0;
};

}  // namespace sorrelwood
