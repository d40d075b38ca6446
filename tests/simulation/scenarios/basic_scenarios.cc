// Scenarios with a single kind of fault, single or repeated, and a few that
// combine many kinds.
#include "simulation/scenarios/scenario.h"

namespace sorrelwood::test {
namespace {

using enum FaultKind;

// Messages are lost, delayed or duplicated.
void AddUnreliableNetworks(ScenarioTable& table) {
  table.Add("quiet", "Jobs do not finish although no fault is injected.",
            ExpectedProgress::kAllJobs, {});
  table.Add("noisy",
            "A duplicate or delayed message is processed as a new one.",
            ExpectedProgress::kAllJobs, {}, 0.02);
  table.Add("slow_answers",
            "A leader acts on responses to requests of an earlier term.",
            ExpectedProgress::kSomeJobs,
            {
                {.at_s = 40, .kind = kLeaderCrash, .restart_s = 0.3},
                {.at_s = 52, .kind = kStateServiceRefusesLeader, .for_s = 8},
                {.at_s = 70, .kind = kStateServiceRefusesLeader, .for_s = 8},
                {.at_s = 90, .kind = kLeaderCrash, .restart_s = 0.3},
            },
            0.1);
  table.Add("cancels",
            "A cancellation is lost, or is confirmed and later undone.",
            ExpectedProgress::kSomeJobs,
            {{.at_s = 50, .kind = kStateServiceOutage, .for_s = 10}}, 0.03);
  table.last().options.cancel_share = 0.8;
  table.Add(
      "stale_news",
      "A controller reports an older state of a job than another controller "
      "reported before.",
      ExpectedProgress::kSomeJobs,
      {{.at_s = 50, .kind = kLeaderCrash, .restart_s = 3}});
  table.last().options.cancel_share = 0.8;
  table.last().options.max_watch_delay_s = 4;
  table.Add(
      "old_answers",
      "Requests of earlier leaders that are executed late overwrite changes "
      "of later leaders.",
      ExpectedProgress::kSomeJobs, LeaderCrashes(20, 30, 4, 0.1), 0.02);
  table.last().options.late_probability = 0.3;
  table.Add(
      "late_copies",
      "A delayed duplicate of a heartbeat makes finished tasks appear running.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 50, .kind = kLeaderCrash, .restart_s = 0.2},
          {.at_s = 70, .kind = kSpotPreemptionWave},
          {.at_s = 80, .kind = kLeaderCrash, .restart_s = 3},
      });
  table.last().options.heartbeat_copy_probability = 0.1;
}

// Controllers crash and restart.
void AddControllerCrashes(ScenarioTable& table) {
  table.Add("leader_crash",
            "The next leader starts a task that is still running, or loses a "
            "result.",
            ExpectedProgress::kAllJobs,
            {{.at_s = 50, .kind = kLeaderCrash, .restart_s = 3}});
  table.Add("leader_crash_noisy",
            "The next leader restores a wrong state because responses of the "
            "state service are lost or late.",
            ExpectedProgress::kAllJobs,
            {{.at_s = 50, .kind = kLeaderCrash, .restart_s = 3}}, 0.02);
  table.Add(
      "leader_back_at_once",
      "A restarted leader treats the lease of its previous process as its "
      "own.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 40, .kind = kLeaderCrash, .restart_s = 0.2},
          {.at_s = 42, .kind = kLeaderCrash, .restart_s = 0.2},
          {.at_s = 44, .kind = kLeaderCrash, .restart_s = 0.2},
      });
  table.Add("all_crash",
            "Accepted jobs or results are lost while no controller runs.",
            ExpectedProgress::kAllJobs,
            {{.at_s = 60, .kind = kAllControllersCrash, .restart_s = 4}}, 0.01);
  table.Add("back_at_once",
            "Controllers and workers that restart within a second are mistaken "
            "for their previous processes.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 40, .kind = kLeaderCrash, .restart_s = 0.1},
                {.at_s = 40.3, .kind = kAllControllersCrash, .restart_s = 0.1},
                {.at_s = 41, .kind = kMachineRestart},
                {.at_s = 44, .kind = kLeaderCrash, .restart_s = 0.1},
                {.at_s = 44.5, .kind = kFollowerCrash, .restart_s = 0.1},
                {.at_s = 45, .kind = kLeaderCrash, .restart_s = 0.1},
                {.at_s = 45.2, .kind = kMachineRestart},
                {.at_s = 60, .kind = kMachineRestart},
            },
            0.02);
  table.last().options.controllers = 5;
}

// Controllers pause while their clocks advance.
void AddControllerPauses(ScenarioTable& table) {
  table.Add("leader_stops",
            "Actions that a leader decided before a pause take effect in its "
            "successor's term.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 45, .kind = kLeaderPause, .for_s = 2.5},
                {.at_s = 60, .kind = kLeaderPause, .for_s = 3.4},
                {.at_s = 75, .kind = kLeaderPause, .for_s = 6},
                {.at_s = 77, .kind = kLeaderCrash, .restart_s = 0.2},
                {.at_s = 90, .kind = kLeaderPause, .for_s = 25},
                {.at_s = 125, .kind = kAllControllersPause, .for_s = 5},
            },
            0.01);
  table.last().options.heartbeat_copy_probability = 0.05;
  table.Add("stops_in_outages",
            "A leader that pauses during an outage acts on an expired lease.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 45, .kind = kStateServiceOutage, .for_s = 22},
                {.at_s = 47, .kind = kLeaderPause, .for_s = 6},
                {.at_s = 60, .kind = kLeaderPause, .for_s = 12},
                {.at_s = 90, .kind = kCloudOutage, .for_s = 20},
                {.at_s = 92, .kind = kLeaderPause, .for_s = 8},
            });
}

// Controllers are partitioned from all or some of their peers and services.
void AddControllerPartitions(ScenarioTable& table) {
  table.Add(
      "leader_alone",
      "A leader that is connected only to workers and clients keeps leading.",
      ExpectedProgress::kAllJobs,
      {{.at_s = 50, .kind = kLeaderWithoutStateAndPeers, .for_s = 60}}, 0.01);
  table.last().options.controllers = 5;
  // "siblings" are the other controllers.
  table.Add(
      "siblings_refuse",
      "A failover does not complete without messages between controllers.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 30, .kind = kPeerMessagesLost, .for_s = 60},
          {.at_s = 40, .kind = kLeaderCrash, .restart_s = 3},
      },
      0.01);
  table.Add("silent_for_long",
            "Requests that a partition delayed by a minute overwrite later "
            "changes.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 40, .kind = kLeaderPartition, .for_s = 70},
                {.at_s = 55, .kind = kFollowerPartition, .for_s = 70},
                {.at_s = 70, .kind = kLeaderCrash, .restart_s = 0.2},
            });
  table.last().options.controllers = 5;
  table.Add(
      "cut_in_part", "A partially partitioned controller keeps leading.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 40, .kind = kFollowerWithoutStateAndPeers, .for_s = 40},
          {.at_s = 42, .kind = kLeaderPartitionedFromWorkers, .for_s = 35},
          {.at_s = 60, .kind = kLeaderCrash, .restart_s = 0.3},
          {.at_s = 95, .kind = kStateServiceRefusesFollower, .for_s = 30},
          {.at_s = 100, .kind = kStateServiceRefusesLeader, .for_s = 35},
          {.at_s = 104, .kind = kLeaderCrash, .restart_s = 3},
      },
      0.01);
  table.last().options.controllers = 5;
  table.Add(
      "leader_cut_from_workers",
      "A leader that workers cannot reach keeps leading while their leases "
      "expire.",
      ExpectedProgress::kSomeJobs,
      {{.at_s = 50, .kind = kLeaderPartitionedFromWorkers, .for_s = 30}});
}

// The state service is unavailable or slow, for all controllers or for one.
void AddStateServiceFaults(ScenarioTable& table) {
  table.Add("state_outage",
            "A leader steps down for good, or starts tasks, while it cannot "
            "store anything.",
            ExpectedProgress::kAllJobs,
            {{.at_s = 50, .kind = kStateServiceOutage, .for_s = 22}});
  table.Add(
      "outage_and_crash",
      "Controllers that start during an outage act on a state that was not "
      "read from the state service.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 50, .kind = kStateServiceOutage, .for_s = 25},
          {.at_s = 70, .kind = kAllControllersCrash, .restart_s = 3},
      });
  table.Add("state_refuses_leader",
            "A leader that is the only controller refused by the state service "
            "blocks progress.",
            ExpectedProgress::kAllJobs,
            {{.at_s = 50, .kind = kStateServiceRefusesLeader, .for_s = 40}},
            0.01);
  table.Add("state_slow",
            "A slow response is treated as a refusal, and a stored record is "
            "overwritten.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 40, .kind = kStateServiceSlow, .for_s = 60},
                {.at_s = 60, .kind = kLeaderCrash, .restart_s = 3},
            });
  table.last().options.controllers = 5;
}

// Zones are partitioned from each other.
void AddZonePartitions(ScenarioTable& table) {
  table.Add("zone_cut",
            "Tasks are restarted while they still run in a partitioned zone.",
            ExpectedProgress::kSomeJobs,
            {
                {.at_s = 50, .kind = kZonePartition, .for_s = 40},
                {.at_s = 60, .kind = kLeaderCrash, .restart_s = 3},
            });
  table.Add("old_leader_keeps_its_zone",
            "A leader that has lost its lease keeps serving the workers of its "
            "zone.",
            ExpectedProgress::kSomeJobs,
            {
                {.at_s = 50, .kind = kStateServiceRefusesLeader, .for_s = 60},
                {.at_s = 50, .kind = kZonePartition, .for_s = 60},
            },
            0.02);
  table.Add("old_leader_and_cancels",
            "A leader that has lost its lease starts jobs that were cancelled "
            "through another controller.",
            ExpectedProgress::kSomeJobs,
            {
                {.at_s = 50, .kind = kStateServiceRefusesLeader, .for_s = 120},
                {.at_s = 50, .kind = kZonePartition, .for_s = 120},
            });
  table.last().options.cancel_share = 0.6;
  table.last().options.run_time_factor = 4;
  table.last().options.policy.speculation_limit_s = 900;
  table.Add("zone_cut_with_gap",
            "Tasks are restarted although the next leader has answered their "
            "workers in a gap of the cut.",
            ExpectedProgress::kSomeJobs,
            {{.at_s = 50,
              .kind = kLeaderZoneCutWithGap,
              .for_s = 70,
              .gap_after_s = 31}});
  table.last().options.run_time_factor = 3;
  table.last().options.policy.speculation_limit_s = 900;
}

// The leader restarts while jobs are cancelled.
void AddRestartFaults(ScenarioTable& table) {
  table.Add("restart_with_late_reads",
            "A read of a job that was carried out before its cancellation "
            "brings it back at a leader that has restarted.",
            ExpectedProgress::kSomeJobs,
            {{.at_s = 50,
              .kind = kLeaderRestartWithLateReads,
              .for_s = 5,
              .count = 4}});
  table.last().options.run_time_factor = 5;
  table.last().options.policy.speculation_limit_s = 900;
  table.Add("restart_with_refused_reads",
            "A job that the listing lacks stays live at a leader that has "
            "restarted, because the read of its final key is refused.",
            ExpectedProgress::kSomeJobs,
            {{.at_s = 50,
              .kind = kLeaderRestartWithRefusedReads,
              .for_s = 60,
              .count = 4}});
  table.last().options.run_time_factor = 5;
  table.last().options.policy.speculation_limit_s = 900;
}

// Machines crash, hang, or are partitioned.
void AddMachineFaults(ScenarioTable& table) {
  table.Add(
      "machines_die",
      "Tasks of machines that crash around a failover are lost or counted "
      "twice.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 40, .kind = kMachineCrash},
          {.at_s = 41, .kind = kLeaderCrash, .restart_s = 3},
          {.at_s = 60, .kind = kMachineCrash},
      });
  // "cut" means partitioned.
  table.Add("machine_cut",
            "A task is started elsewhere before a partitioned machine has "
            "stopped it.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 40, .kind = kMachinePartition, .for_s = 40},
                {.at_s = 45, .kind = kLeaderCrash, .restart_s = 3},
            },
            0.01);
  table.Add("machine_hangs",
            "A task is started elsewhere before a hung machine has stopped it.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 40, .kind = kMachineHang, .for_s = 10},
                {.at_s = 60, .kind = kMachineHang, .for_s = 60},
                {.at_s = 61, .kind = kLeaderCrash, .restart_s = 3},
            });
  table.Add("machine_sick",
            "A machine on which every task fails keeps receiving tasks.",
            ExpectedProgress::kAllJobs,
            {{.at_s = 40, .kind = kMachineFailsTasks}});
  // "deaf": the machine sends heartbeats but receives nothing.
  table.Add("machine_deaf",
            "A machine that receives no commands keeps its tasks forever.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 30, .kind = kMachineInboundLoss, .for_s = 200},
                {.at_s = 35, .kind = kMachineInboundLoss, .for_s = 200},
                {.at_s = 50, .kind = kLeaderCrash, .restart_s = 3},
                {.at_s = 52, .kind = kMachineInboundLoss, .for_s = 60},
            });
  table.last().options.controllers = 5;
}

// The cloud preempts machines, is unavailable, or boots them unusually fast or
// slowly.
void AddCloudFaults(ScenarioTable& table) {
  table.Add("spot_wave",
            "Tasks are lost when half of the spot machines are preempted at "
            "once.",
            ExpectedProgress::kAllJobs,
            {{.at_s = 50, .kind = kSpotPreemptionWave}}, 0.01);
  table.last().options.spot_preemptions_per_hour = 30;
  table.Add(
      "cloud_outage",
      "Machines are provisioned twice, or never released, after an outage.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 40, .kind = kCloudOutage, .for_s = 40},
          {.at_s = 45, .kind = kMachineCrash},
          {.at_s = 46, .kind = kLeaderCrash, .restart_s = 3},
      });
  table.last().options.boot_failure_probability = 0.2;
  table.Add(
      "boots_late",
      "Slowly booting machines are treated as lost and provisioned again.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 0, .kind = kSlowBoots, .for_s = 60},
          {.at_s = 50, .kind = kLeaderCrash, .restart_s = 3},
      });
  table.Add(
      "boots_at_once",
      "A machine whose first heartbeat arrives before the response to its "
      "provisioning request is released as unknown.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 0, .kind = kInstantBoots, .for_s = 80},
          {.at_s = 40, .kind = kLeaderCrash, .restart_s = 0.3},
      },
      0.01);
}

// Unusual load: more tasks or polls than usual, jobs that fail on every
// machine, and a team without a guarantee.
void AddUnusualWorkloads(ScenarioTable& table) {
  table.Add("overload", "Some jobs never start while demand exceeds capacity.",
            ExpectedProgress::kSomeJobs, {});
  table.last().options.jobs = 100;
  table.last().options.run_time_factor = 1.7;
  table.last().options.duration_s = 500;
  table.last().options.policy.speculation_limit_s = 900;
  table.Add(
      "broken_jobs",
      "Machines are released as faulty because of jobs that fail on every "
      "machine.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 40, .kind = kMachineFailsTasks},
          {.at_s = 55, .kind = kLeaderCrash, .restart_s = 3},
          {.at_s = 70, .kind = kMachineFailsTasks},
      });
  table.last().options.failing_job_share = 0.3;
  table.Add("poll_storm",
            "A high rate of polls delays heartbeats and failovers.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 40, .kind = kPollOverload, .for_s = 40},
                {.at_s = 50, .kind = kLeaderCrash, .restart_s = 3},
                {.at_s = 60, .kind = kStateServiceSlow, .for_s = 15},
            });
  table.last().options.controllers = 5;
  // "guests" is the team without a guarantee.
  table.Add(
      "guests",
      "A team without a guarantee uses capacity that is guaranteed to other "
      "teams.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 45, .kind = kLeaderCrash, .restart_s = 3},
          {.at_s = 60, .kind = kLeaderPause, .for_s = 5},
      });
  table.last().options.best_effort_team = true;
}

// Many of the faults above, overlapping in time.
void AddManyFaults(ScenarioTable& table) {
  table.Add(
      "on_no_list",
      "Faults that are tolerated one at a time break an invariant when they "
      "overlap.",
      ExpectedProgress::kSomeJobs,
      {
          {.at_s = 5, .kind = kSlowBoots, .for_s = 20},
          {.at_s = 30, .kind = kLeaderPause, .for_s = 3.4},
          {.at_s = 33, .kind = kLeaderPartition, .for_s = 60},
          {.at_s = 36, .kind = kFollowerWithoutStateAndPeers, .for_s = 30},
          {.at_s = 45, .kind = kPollOverload, .for_s = 40},
          {.at_s = 50, .kind = kInstantBoots, .for_s = 40},
          {.at_s = 52, .kind = kLeaderPause, .for_s = 7},
          {.at_s = 53, .kind = kStateServiceOutage, .for_s = 20},
          {.at_s = 60, .kind = kAllControllersCrash, .restart_s = 0.3},
          {.at_s = 80, .kind = kMachineFailsTasks},
          {.at_s = 85, .kind = kLeaderPartitionedFromWorkers, .for_s = 30},
          {.at_s = 90, .kind = kMachineInboundLoss, .for_s = 40},
          {.at_s = 95, .kind = kAllControllersPause, .for_s = 5},
          {.at_s = 110, .kind = kStateServiceRefusesFollower, .for_s = 20},
          {.at_s = 112, .kind = kLeaderCrash, .restart_s = 0.1},
      },
      0.02);
  table.last().options.controllers = 5;
  table.last().options.failing_job_share = 0.3;
  table.last().options.best_effort_team = true;
  table.last().options.heartbeat_copy_probability = 0.05;
  table.Add("everything",
            "Faults that are tolerated one at a time break an invariant when "
            "they overlap.",
            ExpectedProgress::kSomeJobs,
            {
                {.at_s = 30, .kind = kMachinePartition, .for_s = 30},
                {.at_s = 40, .kind = kLeaderCrash, .restart_s = 0.5},
                {.at_s = 50, .kind = kStateServiceRefusesLeader, .for_s = 20},
                {.at_s = 60, .kind = kMachineCrash},
                {.at_s = 80, .kind = kCloudOutage, .for_s = 20},
                {.at_s = 85, .kind = kStateServiceOutage, .for_s = 25},
                {.at_s = 95, .kind = kMachineInboundLoss, .for_s = 60},
                {.at_s = 97, .kind = kLeaderWithoutStateAndPeers, .for_s = 40},
                {.at_s = 100, .kind = kAllControllersCrash, .restart_s = 3},
                {.at_s = 110, .kind = kStateServiceSlow, .for_s = 20},
                {.at_s = 125, .kind = kMachineHang, .for_s = 20},
                {.at_s = 130, .kind = kSpotPreemptionWave},
            },
            0.02);
  table.last().options.heartbeat_copy_probability = 0.05;
}

}  // namespace

std::vector<Scenario> BasicScenarios() {
  constexpr uint64_t kSeeds = 24;
  ScenarioTable table(kSeeds, SmallClusterOptions());
  AddUnreliableNetworks(table);
  AddControllerCrashes(table);
  AddControllerPauses(table);
  AddControllerPartitions(table);
  AddStateServiceFaults(table);
  AddZonePartitions(table);
  AddRestartFaults(table);
  AddMachineFaults(table);
  AddCloudFaults(table);
  AddUnusualWorkloads(table);
  AddManyFaults(table);
  return table.scenarios();
}

}  // namespace sorrelwood::test
