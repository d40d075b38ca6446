#include "simulation/fault_injector.h"

#include <algorithm>
#include <cstdlib>

#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

// Faults of the whole cluster, with the member that holds the end of the fault.
struct ClusterFault {
  FaultKind kind;
  double ActiveFaults::*until_s;
};
constexpr ClusterFault kClusterFaults[] = {
    {FaultKind::kStateServiceSlow, &ActiveFaults::state_slow_until_s},
    {FaultKind::kPeerMessagesLost, &ActiveFaults::peer_messages_lost_until_s},
    {FaultKind::kZonePartition, &ActiveFaults::zone_partition_until_s},
    {FaultKind::kCloudOutage, &ActiveFaults::cloud_outage_until_s},
    {FaultKind::kSlowBoots, &ActiveFaults::slow_boots_until_s},
    {FaultKind::kInstantBoots, &ActiveFaults::instant_boots_until_s},
    {FaultKind::kPollOverload, &ActiveFaults::poll_overload_until_s},
    {FaultKind::kPollAllControllersOnChange,
     &ActiveFaults::poll_all_on_change_until_s},
};

// Faults that affect a share of the messages or jobs.
struct MessageFault {
  FaultKind kind;
  PartialFault ActiveFaults::*fault;
};
constexpr MessageFault kMessageFaults[] = {
    {FaultKind::kLateTransactions, &ActiveFaults::late_transactions},
    {FaultKind::kTransactionAnswersLost,
     &ActiveFaults::transaction_answers_lost},
    {FaultKind::kHeartbeatsDuplicatedLate,
     &ActiveFaults::late_heartbeat_copies},
    {FaultKind::kHeartbeatsReplayedToNextLeader,
     &ActiveFaults::heartbeats_replayed_to_next_leader},
    {FaultKind::kCancelAtCompletion, &ActiveFaults::cancel_at_completion},
};

// Faults of a single controller. A kind may have several rows.
enum class Role { kLeader, kFollower };
struct ControllerFault {
  FaultKind kind;
  Role role;
  double ControllerProcess::*until_s;
};
constexpr ControllerFault kControllerFaults[] = {
    {FaultKind::kStateServiceRefusesLeader, Role::kLeader,
     &ControllerProcess::state_refused_until_s},
    {FaultKind::kStateServiceRefusesFollower, Role::kFollower,
     &ControllerProcess::state_refused_until_s},
    {FaultKind::kLeaderWithoutStateAndPeers, Role::kLeader,
     &ControllerProcess::state_refused_until_s},
    {FaultKind::kLeaderWithoutStateAndPeers, Role::kLeader,
     &ControllerProcess::partitioned_from_peers_until_s},
    {FaultKind::kFollowerWithoutStateAndPeers, Role::kFollower,
     &ControllerProcess::state_refused_until_s},
    {FaultKind::kFollowerWithoutStateAndPeers, Role::kFollower,
     &ControllerProcess::partitioned_from_peers_until_s},
    {FaultKind::kLeaderPartitionedFromWorkers, Role::kLeader,
     &ControllerProcess::partitioned_from_workers_until_s},
    {FaultKind::kLeaderPause, Role::kLeader,
     &ControllerProcess::paused_until_s},
    {FaultKind::kLeaderPartition, Role::kLeader,
     &ControllerProcess::partitioned_until_s},
    {FaultKind::kFollowerPartition, Role::kFollower,
     &ControllerProcess::partitioned_until_s},
};

// Faults of `count` machines.
struct MachineFault {
  FaultKind kind;
  double Worker::*until_s;
};
constexpr MachineFault kMachineFaults[] = {
    {FaultKind::kMachinePartition, &Worker::partitioned_until_s},
    {FaultKind::kMachineHang, &Worker::hung_until_s},
    {FaultKind::kMachineInboundLoss, &Worker::inbound_lost_until_s},
    {FaultKind::kMachineOutboundLoss, &Worker::outbound_lost_until_s},
};

}  // namespace

const FaultInjector::FaultHandler FaultInjector::kHandlers[] = {
    {FaultKind::kLeaderCrash, &FaultInjector::CrashLeader},
    {FaultKind::kFollowerCrash, &FaultInjector::CrashFollower},
    {FaultKind::kLeaderZoneCutWithGap, &FaultInjector::CutLeaderZone},
    {FaultKind::kLeaderRestartWithLateReads, &FaultInjector::RestartLeader},
    {FaultKind::kLeaderRestartWithRefusedReads, &FaultInjector::RestartLeader},
    {FaultKind::kAllControllersCrash, &FaultInjector::CrashAllControllers},
    {FaultKind::kAllControllersPause, &FaultInjector::PauseAllControllers},
    {FaultKind::kStateServiceOutage, &FaultInjector::BeginStateOutage},
    {FaultKind::kSpotPreemptionWave, &FaultInjector::PreemptSpotMachines},
    {FaultKind::kMachineCrash, &FaultInjector::CrashMachines},
    {FaultKind::kMachineRestart, &FaultInjector::RestartMachine},
    {FaultKind::kMachineFailsTasks, &FaultInjector::MakeMachineFailTasks},
    {FaultKind::kMassMachineLoss, &FaultInjector::LoseThirdOfMachines},
    {FaultKind::kCancelRunningJobs, &FaultInjector::CancelRunningJobs},
    {FaultKind::kUnusualRequests, &FaultInjector::SendUnusualRequests},
};

void FaultInjector::Inject(const Fault& fault) {
  const Targets targets = DrawTargets(fault);
  const bool known = BeginClusterFault(fault) || BeginMessageFault(fault) ||
                     BeginControllerFault(fault, targets) ||
                     BeginMachineFault(fault, targets) ||
                     RunHandler(fault, targets);
  if (!known) std::abort();  // the kind is missing from the tables
}

// Makes the same draws for every kind of fault, also for those without a
// target, so that the rest of a run does not depend on the kind.
FaultInjector::Targets FaultInjector::DrawTargets(const Fault& fault) {
  Targets targets;
  for (auto& [name, worker] : cluster_.workers().all())
    if (worker->up && !worker->released && !worker->crashed)
      targets.running.push_back(worker.get());
  RandomSource& random = cluster_.random();
  if (!targets.running.empty())
    targets.random_machine =
        targets.running[random.Below(targets.running.size())];
  targets.affected = targets.running;
  if (fault.count == 1 && targets.random_machine)
    targets.affected = {targets.random_machine};
  if (fault.count > 1)
    std::shuffle(targets.affected.begin(), targets.affected.end(),
                 random.engine());
  targets.affected.resize(std::min(targets.affected.size(), fault.count));
  targets.leader = cluster_.controllers().LeaderIndex();
  targets.follower =
      (std::max(targets.leader, 0) + 1) % cluster_.controllers().size();
  return targets;
}

bool FaultInjector::BeginClusterFault(const Fault& fault) {
  for (const ClusterFault& row : kClusterFaults) {
    if (row.kind != fault.kind) continue;
    cluster_.faults().*row.until_s = cluster_.now() + fault.for_s;
    return true;
  }
  return false;
}

bool FaultInjector::BeginMessageFault(const Fault& fault) {
  for (const MessageFault& row : kMessageFaults) {
    if (row.kind != fault.kind) continue;
    cluster_.faults().*row.fault = {cluster_.now() + fault.for_s, fault.share};
    return true;
  }
  return false;
}

bool FaultInjector::BeginControllerFault(const Fault& fault,
                                         const Targets& targets) {
  bool known = false;
  for (const ControllerFault& row : kControllerFaults) {
    if (row.kind != fault.kind) continue;
    known = true;
    const int index =
        row.role == Role::kLeader ? targets.leader : targets.follower;
    if (index < 0) continue;
    cluster_.controllers().process(index).*row.until_s =
        cluster_.now() + fault.for_s;
  }
  return known;
}

bool FaultInjector::BeginMachineFault(const Fault& fault,
                                      const Targets& targets) {
  for (const MachineFault& row : kMachineFaults) {
    if (row.kind != fault.kind) continue;
    for (Worker* worker : targets.affected)
      worker->*row.until_s = cluster_.now() + fault.for_s;
    return true;
  }
  return false;
}

bool FaultInjector::RunHandler(const Fault& fault, const Targets& targets) {
  for (const FaultHandler& row : kHandlers) {
    if (row.kind != fault.kind) continue;
    (this->*row.handler)(fault, targets);
    return true;
  }
  return false;
}

void FaultInjector::CrashLeader(const Fault& fault, const Targets& targets) {
  if (targets.leader >= 0)
    cluster_.controllers().Crash(targets.leader, fault.restart_s);
}

void FaultInjector::CrashFollower(const Fault& fault, const Targets& targets) {
  cluster_.controllers().Crash(targets.follower, fault.restart_s);
}

void FaultInjector::CutLeaderZone(const Fault& fault, const Targets& targets) {
  zone_cut_.Begin(fault, targets.leader);
}

void FaultInjector::RestartLeader(const Fault& fault, const Targets& targets) {
  leader_restart_.Begin(fault, targets.leader);
}

void FaultInjector::CrashAllControllers(const Fault& fault, const Targets&) {
  for (int i = 0; i < cluster_.controllers().size(); ++i)
    cluster_.controllers().Crash(i, fault.restart_s);
}

void FaultInjector::PauseAllControllers(const Fault& fault, const Targets&) {
  for (int i = 0; i < cluster_.controllers().size(); ++i)
    cluster_.controllers().process(i).paused_until_s =
        cluster_.now() + fault.for_s;
}

void FaultInjector::BeginStateOutage(const Fault& fault, const Targets&) {
  const double until_s = cluster_.now() + fault.for_s;
  cluster_.faults().state_outage_until_s = until_s;
  cluster_.events().At(until_s,
                       [this] { cluster_.state_service().RestartLeases(); });
}

void FaultInjector::PreemptSpotMachines(const Fault&, const Targets& targets) {
  for (Worker* worker : targets.running)
    if (worker->spot && cluster_.random().Chance(0.5))
      cluster_.cloud().Preempt(*worker, kSpotNoticeS);
}

void FaultInjector::CrashMachines(const Fault&, const Targets& targets) {
  for (Worker* worker : targets.affected) cluster_.workers().Crash(*worker);
}

void FaultInjector::RestartMachine(const Fault&, const Targets& targets) {
  if (targets.random_machine)
    cluster_.workers().Restart(*targets.random_machine);
}

void FaultInjector::MakeMachineFailTasks(const Fault&, const Targets& targets) {
  if (targets.random_machine) targets.random_machine->fails_all_tasks = true;
}

void FaultInjector::LoseThirdOfMachines(const Fault& fault,
                                        const Targets& targets) {
  for (size_t i = 0; i < targets.running.size(); i += 3) {
    Worker* worker = targets.running[i];
    if (i % 2 == 0)
      worker->hung_until_s = cluster_.now() + fault.for_s;
    else
      cluster_.workers().Crash(*worker);
  }
}

void FaultInjector::CancelRunningJobs(const Fault& fault, const Targets&) {
  cluster_.clients().CancelRunningJobs(fault.count, fault.for_s);
}

void FaultInjector::SendUnusualRequests(const Fault& fault, const Targets&) {
  cluster_.faults().unusual_requests_until_s = cluster_.now() + fault.for_s;
  cluster_.clients().SendUnusualRequests();
}

}  // namespace sorrelwood::test
