#include "core/autoscaling/autoscaler.h"

#include "base/constants/autoscaling.h"
#include "core/autoscaling/scale_out_plan.h"

namespace sorrelwood {

Autoscaler::Autoscaler(Context* context, JobTable* jobs, MachineTable* machines,
                       Placement* placement, StateWriter* writer,
                       const StateLimitTracker* limits,
                       const ClusterSettings* settings,
                       const PolicySettings& policy)
    : context_(context),
      machines_(machines),
      placement_(placement),
      settings_(settings),
      catalog_(context, policy),
      quota_(context, settings),
      requests_(context, machines, writer, limits, &catalog_, &quota_),
      releases_(context, machines, writer, &quota_, &requests_),
      inventory_(context, machines, &catalog_, &quota_, &releases_, settings),
      demand_(context, jobs, settings),
      capacity_(context, jobs, machines, &catalog_, &requests_),
      low_cost_scale_out_(jobs, &catalog_, &demand_, &capacity_, policy),
      premium_scale_out_(context, jobs, &catalog_, &demand_, &capacity_,
                         settings, policy),
      headroom_planner_(context, jobs, machines, placement, &catalog_,
                        &requests_, settings),
      baseline_(machines, &catalog_, policy),
      excess_drainer_(context, jobs, machines, &demand_, policy),
      idle_releaser_(context, machines, &releases_, policy) {
  releases_.on_machine_gone = [this](Machine* machine) {
    if (on_machine_gone) on_machine_gone(machine);
  };
}

void Autoscaler::UpdateCatalog(const std::vector<MachineType>& types) {
  catalog_.Update(types);
  for (auto& [name, machine] : machines_->all())
    if (!machine->type) machine->type = FindType(machine->type_name);
}

void Autoscaler::Load(uint64_t term,
                      const std::vector<ProvisioningRecord>& records) {
  requests_.Load(term, records);
  double guaranteed_cpus = 0;
  for (const Team& team : settings_->teams) guaranteed_cpus += team.cpus;
  baseline_.Reset(guaranteed_cpus);
}

void Autoscaler::Clear() {
  requests_.Clear();
  releases_.Clear();
  inventory_.Clear();
  catalog_.ClearSuspensions();
  idle_releaser_.Clear();
}

void Autoscaler::Tick(bool may_dispatch, double dispatch_deadline) {
  if (!may_dispatch || placement_->admission().unreconciled_machines() > 0)
    idle_releaser_.OnWorkBlocked();
  // Prevents a leader that is cut off, and perhaps replaced, from releasing
  // machines: the cloud may carry out its call late, when tasks of the next
  // leader run there.
  if (!may_dispatch || catalog_.types().empty()) return;
  // All of these share the quota of cloud calls. Releases come first because
  // they stop costs.
  releases_.Send(dispatch_deadline);
  requests_.SendDue(dispatch_deadline);
  inventory_.Tick();
  if (context_->now < next_plan_at_) return;
  next_plan_at_ = context_->now + kPlanIntervalS;
  // The order matters: machines of the baseline or for services are neither
  // excess nor idle.
  baseline_.SelectMachines();
  headroom_planner_.SelectMachines();
  excess_drainer_.Run();
  idle_releaser_.Run();
  ScaleOut();
}

void Autoscaler::ScaleOut() {
  ScaleOutPlan plan;
  low_cost_scale_out_.Plan(&plan);
  premium_scale_out_.Plan(&plan);
  headroom_planner_.Plan(&plan);
  baseline_.Plan(capacity_.SumCpus(plan), &plan);
  for (const Offer& offer : catalog_.offers())
    requests_.Provision(offer, plan.Count(offer));
}

}  // namespace sorrelwood
