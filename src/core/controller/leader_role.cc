#include "core/controller/leader_role.h"

namespace sorrelwood {

LeaderRole::LeaderRole(Context* context, JobCache* job_cache,
                       LeaderElection* election,
                       const ClusterSettings* settings,
                       const StateLimitTracker* limits,
                       const PolicySettings& policy, uint64_t seed)
    : context_(context),
      election_(election),
      placement_(context, &jobs_, &machines_, settings),
      writer_(context, election, limits),
      completions_(&jobs_, &writer_, limits),
      job_finisher_(context, &jobs_, job_cache, &writer_),
      autoscaler_(context, &jobs_, &machines_, &placement_, &writer_, limits,
                  settings, policy),
      replicas_(context, &jobs_, &machines_, &placement_),
      preemption_(context, &jobs_, &machines_, &placement_, settings),
      waiting_(context, &jobs_, &machines_, policy, seed),
      bounded_placement_(&jobs_, &machines_, settings, policy.spread),
      rebalancer_(context, &jobs_, &machines_, &placement_, settings,
                  policy.spread),
      attempts_(context, election, &jobs_, &machines_, &rebalancer_,
                &unreconciled_),
      quarantine_(context, &jobs_),
      failures_(context, &machines_, &quarantine_),
      task_outcomes_(context, &jobs_, &machines_, &attempts_, &failures_,
                     &replicas_, &rebalancer_, &completions_, &job_finisher_),
      task_status_(context, &jobs_, &attempts_, &task_outcomes_, &failures_,
                   &replicas_, &waiting_),
      machine_recorder_(&machines_, &writer_, &autoscaler_),
      preemption_notices_(context, &jobs_),
      reconciler_(context, election, &attempts_, &task_status_,
                  &machine_recorder_, &preemption_notices_, &unreconciled_),
      commands_(context, election, &jobs_, job_cache, &placement_, &attempts_),
      health_monitor_(context, &machines_, election, &autoscaler_, settings,
                      &reconciler_, &attempts_),
      heartbeat_handler_(context, election, &machines_, &autoscaler_,
                         &placement_, &reconciler_, &commands_,
                         &health_monitor_, &unreconciled_),
      job_lifecycle_(context, job_cache, election, settings, &jobs_, &machines_,
                     &attempts_, &completions_, &job_finisher_, &rebalancer_),
      recovery_(context, job_cache, election, &jobs_, &machines_, &writer_,
                &completions_, &autoscaler_, &unreconciled_, &job_lifecycle_),
      statistics_(context, settings, &jobs_, &machines_, &placement_,
                  &autoscaler_, &waiting_, &replicas_, &rebalancer_) {
  autoscaler_.on_machine_gone = [this](Machine* machine) {
    attempts_.ForgetMachineContents(machine);
    rebalancer_.OnMachineGone(machine->name);
  };
  if (policy.spread.placement) placement_.set_spread(&bounded_placement_);
}

void LeaderRole::OnLeadershipAcquired() {
  ResetTermState();
  recovery_.Start();
}

void LeaderRole::ResetTermState() {
  recovery_.Reset();
  health_monitor_.OnTermStarted();
  writer_.Clear();
  autoscaler_.Clear();
  jobs_.Clear();
  machines_.Clear();
  completions_.Clear();
  job_finisher_.Clear();
  unreconciled_.Clear();
  rebalancer_.Clear();
}

void LeaderRole::UpdateCatalog(const std::vector<MachineType>& types) {
  autoscaler_.UpdateCatalog(types);
  unreconciled_.Recount(machines_.all());
}

void LeaderRole::OnJobAdded(const std::string& id) {
  if (recovery_.complete()) job_lifecycle_.OnJobAdded(id);
}

void LeaderRole::OnJobEnded(const std::string& id) {
  if (recovery_.complete()) job_lifecycle_.OnJobEnded(id);
}

void LeaderRole::OnHeartbeat(uint64_t request, const Heartbeat& heartbeat) {
  if (recovery_.complete())
    heartbeat_handler_.Handle(request, heartbeat);
  else
    heartbeat_handler_.HandleDuringRecovery(request, heartbeat);
}

void LeaderRole::Tick() {
  if (!election_->leading()) return;
  if (!recovery_.complete()) {
    recovery_.RetryIfDue();
    return;
  }
  if (health_timer_.RestartIfDue(context_->now)) {
    health_monitor_.CheckMachines();
    // The health monitor may have resigned the leadership, which clears the
    // state that the steps below use.
    if (!election_->leading()) return;
  }
  writer_.Tick();
  autoscaler_.Tick(election_->MayDispatch(), election_->dispatch_deadline());
  CommitResults();
  ApplyPolicies();
  replicas_.AccumulateMissingTime();
  rebalancer_.Tick(election_->MayDispatch());
  PreemptForServices();
  job_lifecycle_.RankQueueIfDue();
  if (context_->debug && team_usage_timer_.RestartIfDue(context_->now))
    statistics_.LogTeamUsage();
  PlacePending();
}

void LeaderRole::CommitResults() {
  if (!commit_timer_.RestartIfDue(context_->now)) return;
  job_finisher_.CommitJobEnds();
  completions_.Write();
}

void LeaderRole::ApplyPolicies() {
  if (!policy_timer_.RestartIfDue(context_->now)) return;
  waiting_.Tick();
  replicas_.StopReplicasOnDepartingMachines();
  if (election_->MayDispatch()) placement_.PreemptForGuarantees();
}

void LeaderRole::PreemptForServices() {
  if (!preemption_timer_.RestartIfDue(context_->now)) return;
  if (election_->MayDispatch()) preemption_.PreemptForServices();
}

void LeaderRole::PlacePending() {
  if (!placement_timer_.RestartIfDue(context_->now)) return;
  unreconciled_.ReserveCapacityIn(&placement_);
  if (election_->MayDispatch()) placement_.RunPass(election_->term());
}

std::vector<JobCounts> LeaderRole::CollectJobCounts() const {
  if (!recovery_.complete()) return {};
  return statistics_.CollectJobCounts();
}

}  // namespace sorrelwood
