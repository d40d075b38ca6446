// Scenarios with services and other jobs, and with a rolling upgrade.
#include "simulation/scenarios/scenario.h"

namespace sorrelwood::test {
namespace {

using enum FaultKind;

void UseRollingUpgrade(Scenario& scenario, double limits_drop_at_s) {
  SimulationOptions& options = scenario.options;
  options.rolling_upgrade_at_s = 15;
  options.services_from_s = 50;  // after the upgrade
  options.state_limits_drop_at_s = limits_drop_at_s;
  options.enforce_write_rate = true;
  options.long_array = true;
  options.run_time_factor = 2;
}

// Services run alongside other jobs while machines and leaders fail.
void AddServices(ScenarioTable& table) {
  table.Add("services",
            "Replicas are not started although no fault is injected.",
            ExpectedProgress::kAllJobs, {});
  table.Add(
      "services_lose_machines",
      "Replicas of lost machines are not replaced, or run twice.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 50, .kind = kMachineCrash, .count = 3},
          {.at_s = 70, .kind = kMachinePartition, .for_s = 30, .count = 4},
          {.at_s = 90, .kind = kMachineHang, .for_s = 9, .count = 5},
          {.at_s = 110, .kind = kSpotPreemptionWave},
          {.at_s = 120, .kind = kMachineHang, .for_s = 25, .count = 4},
      },
      0.01);
  table.last().options.run_time_factor = 2;
  table.Add(
      "services_change_leaders",
      "The next leader restarts running replicas, or does not replace lost "
      "ones.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 45, .kind = kLeaderCrash, .restart_s = 3},
          {.at_s = 60, .kind = kMachinePartition, .for_s = 30, .count = 4},
          {.at_s = 62, .kind = kLeaderCrash, .restart_s = 0.2},
          {.at_s = 80, .kind = kAllControllersCrash, .restart_s = 3},
          {.at_s = 110, .kind = kLeaderCrash, .restart_s = 0.2},
          {.at_s = 112, .kind = kMachineInboundLoss, .for_s = 40, .count = 3},
      },
      0.01);
}

// Services during outages, whose replicas exit, or that are cancelled.
void AddServiceFailures(ScenarioTable& table) {
  table.Add(
      "services_in_outages",
      "Lost replicas are not replaced after outages of the state service and "
      "the cloud.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 50, .kind = kStateServiceOutage, .for_s = 22},
          {.at_s = 60, .kind = kCloudOutage, .for_s = 40},
          {.at_s = 62, .kind = kMachineCrash, .count = 3},
          {.at_s = 90, .kind = kZonePartition, .for_s = 30},
          {.at_s = 100, .kind = kLeaderCrash, .restart_s = 3},
          {.at_s = 140, .kind = kStateServiceRefusesLeader, .for_s = 30},
      });
  table.last().options.run_time_factor = 2;
  table.Add(
      "replicas_end",
      "A service whose replicas exit is reported done, or its machines are "
      "released as faulty.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 60, .kind = kMachineFailsTasks},
          {.at_s = 70, .kind = kLeaderCrash, .restart_s = 3},
      },
      0.01);
  table.last().options.exiting_service_share = 0.5;
  table.last().options.crash_looping_service = true;
  table.Add(
      "services_cancelled",
      "Replicas keep running after the cancellation of their service was "
      "confirmed.",
      ExpectedProgress::kSomeJobs,
      {
          {.at_s = 50, .kind = kLeaderCrash, .restart_s = 3},
          {.at_s = 60, .kind = kCancelRunningJobs, .for_s = 12, .count = 4},
          {.at_s = 62, .kind = kStateServiceRefusesLeader, .for_s = 14},
          {.at_s = 63, .kind = kCancelRunningJobs, .count = 4},
          {.at_s = 65, .kind = kStateServiceOutage, .for_s = 45},
          {.at_s = 130, .kind = kCancelRunningJobs, .count = 4},
      },
      0.01);
  table.last().options.cancel_share = 0.7;
}

// A rolling upgrade to the version that supports the upcoming, smaller limits
// of the state service; the limits drop soon after the upgrade.
void AddRollingUpgrades(ScenarioTable& table) {
  // "roll" is the rolling upgrade.
  table.Add("roll",
            "Jobs or results are lost between the two versions, or a write "
            "exceeds the new limits.",
            ExpectedProgress::kAllJobs, {});
  UseRollingUpgrade(table.last(), /*limits_drop_at_s=*/60);
  table.Add(
      "roll_in_trouble",
      "Failovers and late messages during the upgrade break an invariant.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 18, .kind = kLeaderCrash, .restart_s = 0.2},
          {.at_s = 23, .kind = kFollowerCrash, .restart_s = 0.3},
          {.at_s = 24, .kind = kMachinePartition, .for_s = 20, .count = 4},
          {.at_s = 27, .kind = kAllControllersCrash, .restart_s = 3},
          {.at_s = 36, .kind = kLeaderCrash, .restart_s = 0.2},
          {.at_s = 15, .kind = kLateTransactions, .for_s = 40, .share = 0.1},
          {.at_s = 15,
           .kind = kHeartbeatsDuplicatedLate,
           .for_s = 60,
           .share = 0.2},
          {.at_s = 70, .kind = kLeaderCrash, .restart_s = 3},
          {.at_s = 75, .kind = kSpotPreemptionWave},
      },
      0.01);
  UseRollingUpgrade(table.last(), /*limits_drop_at_s=*/60);
}

// The same upgrade with services and other faults.
void AddUpgradesWithServices(ScenarioTable& table) {
  table.Add(
      "limits_fall_with_leaders",
      "A leader that takes over as the limits drop keeps using the larger "
      "limits.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 50, .kind = kLeaderCrash, .restart_s = 0.2},
          {.at_s = 62, .kind = kLeaderCrash, .restart_s = 3},
          {.at_s = 66, .kind = kMachineCrash, .count = 3},
          {.at_s = 70, .kind = kAllControllersCrash, .restart_s = 2},
          {.at_s = 80, .kind = kStateServiceSlow, .for_s = 20},
      });
  UseRollingUpgrade(table.last(), /*limits_drop_at_s=*/58);
  table.Add(
      "services_meet_all",
      "Services, the upgrade and many faults break an invariant when they "
      "overlap.",
      ExpectedProgress::kSomeJobs,
      {
          {.at_s = 18, .kind = kLeaderCrash, .restart_s = 0.2},
          {.at_s = 40, .kind = kMachineOutboundLoss, .for_s = 30, .count = 3},
          {.at_s = 50, .kind = kLateTransactions, .for_s = 40, .share = 0.1},
          {.at_s = 50,
           .kind = kHeartbeatsReplayedToNextLeader,
           .for_s = 60,
           .share = 0.2},
          {.at_s = 50,
           .kind = kHeartbeatsDuplicatedLate,
           .for_s = 60,
           .share = 0.2},
          {.at_s = 60, .kind = kLeaderCrash, .restart_s = 0.2},
          {.at_s = 61, .kind = kCancelRunningJobs, .for_s = 12, .count = 3},
          {.at_s = 75, .kind = kStateServiceRefusesLeader, .for_s = 10},
          {.at_s = 77, .kind = kStateServiceOutage, .for_s = 42},
          {.at_s = 80, .kind = kMachineInboundLoss, .for_s = 40, .count = 3},
          {.at_s = 125, .kind = kAllControllersCrash, .restart_s = 0.3},
          {.at_s = 130, .kind = kLeaderWithoutStateAndPeers, .for_s = 30},
          {.at_s = 150, .kind = kMachineFailsTasks},
      },
      0.01);
  UseRollingUpgrade(table.last(), /*limits_drop_at_s=*/60);
}

}  // namespace

std::vector<Scenario> ServiceScenarios() {
  constexpr uint64_t kSeeds = 10;
  SimulationOptions options = SmallClusterOptions();
  options.controllers = 5;
  options.services = 4;
  options.duration_s = 600;
  options.jobs = 16;
  options.policy.speculation_limit_s =
      900;  // services use most of each team limit
  ScenarioTable table(kSeeds, options);
  AddServices(table);
  AddServiceFailures(table);
  AddRollingUpgrades(table);
  AddUpgradesWithServices(table);
  return table.scenarios();
}

}  // namespace sorrelwood::test
