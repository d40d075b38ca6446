// Scenarios of one fault, or of one fault again and again.
#include "simulation/scenarios/scenario.h"

namespace sorrelwood::test {
namespace {

using enum FaultKind;

// Messages are lost, late, repeated, or come as copies.
void AddUnreliableNetworks(ScenarioTable& table) {
  table.Add("quiet", "Jobs don't end although nothing goes wrong.",
            ExpectedProgress::kAllJobs, {});
  table.Add("noisy", "A repeated or late message is taken for a new one.",
            ExpectedProgress::kAllJobs, {}, 0.02);
  table.Add("slow_answers",
            "A leader acts on answers that were meant for an earlier term.",
            ExpectedProgress::kSomeJobs,
            {
                {.at_s = 40, .kind = kLeaderCrash, .restart_s = 0.3},
                {.at_s = 52, .kind = kStateServiceRefusesLeader, .for_s = 8},
                {.at_s = 70, .kind = kStateServiceRefusesLeader, .for_s = 8},
                {.at_s = 90, .kind = kLeaderCrash, .restart_s = 0.3},
            },
            0.1);
  table.Add("cancels", "A cancellation is lost, or confirmed and then undone.",
            ExpectedProgress::kSomeJobs,
            {{.at_s = 50, .kind = kStateServiceOutage, .for_s = 10}}, 0.03);
  table.last().options.cancel_share = 0.8;
  table.Add(
      "stale_news",
      "A controller tells an older state of a job than another told before.",
      ExpectedProgress::kSomeJobs,
      {{.at_s = 50, .kind = kLeaderCrash, .restart_s = 3}});
  table.last().options.cancel_share = 0.8;
  table.last().options.max_watch_delay_s = 4;
  table.Add("old_answers",
            "Requests of earlier leaders, carried out long after, undo what "
            "later ones did.",
            ExpectedProgress::kSomeJobs, LeaderCrashes(20, 30, 4, 0.1), 0.02);
  table.last().options.late_probability = 0.3;
  table.Add(
      "late_copies",
      "A copy of a heartbeat shows tasks that have ended meanwhile as running.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 50, .kind = kLeaderCrash, .restart_s = 0.2},
          {.at_s = 70, .kind = kSpotPreemptionWave},
          {.at_s = 80, .kind = kLeaderCrash, .restart_s = 3},
      });
  table.last().options.heartbeat_copy_probability = 0.1;
}

// Controllers end and come back.
void AddControllerCrashes(ScenarioTable& table) {
  table.Add("leader_crash",
            "The next leader starts a task that still runs, or loses a result.",
            ExpectedProgress::kAllJobs,
            {{.at_s = 50, .kind = kLeaderCrash, .restart_s = 3}});
  table.Add("leader_crash_noisy",
            "The next leader reads stored records through lost and late "
            "answers, and mixes them up.",
            ExpectedProgress::kAllJobs,
            {{.at_s = 50, .kind = kLeaderCrash, .restart_s = 3}}, 0.02);
  table.Add("leader_back_at_once",
            "A restarted leader takes its own earlier lease for a present one.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 40, .kind = kLeaderCrash, .restart_s = 0.2},
                {.at_s = 42, .kind = kLeaderCrash, .restart_s = 0.2},
                {.at_s = 44, .kind = kLeaderCrash, .restart_s = 0.2},
            });
  table.Add("all_crash",
            "Nobody leads for some time, and what was not stored is lost.",
            ExpectedProgress::kAllJobs,
            {{.at_s = 60, .kind = kAllControllersCrash, .restart_s = 4}}, 0.01);
  table.Add("back_at_once",
            "Controllers and workers that restart within a second are taken "
            "for their earlier selves.",
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

// Controllers stand still for some time.
void AddControllerPauses(ScenarioTable& table) {
  table.Add(
      "leader_stops",
      "What a paused leader had decided takes effect under its successor.",
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
  table.Add(
      "stops_in_outages",
      "A leader that pauses in an outage trusts a lease that has run out.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 45, .kind = kStateServiceOutage, .for_s = 22},
          {.at_s = 47, .kind = kLeaderPause, .for_s = 6},
          {.at_s = 60, .kind = kLeaderPause, .for_s = 12},
          {.at_s = 90, .kind = kCloudOutage, .for_s = 20},
          {.at_s = 92, .kind = kLeaderPause, .for_s = 8},
      });
}

// Controllers lose all or part of their connections.
void AddControllerPartitions(ScenarioTable& table) {
  table.Add(
      "leader_alone",
      "A leader that nobody but workers and clients can reach goes on leading.",
      ExpectedProgress::kAllJobs,
      {{.at_s = 50, .kind = kLeaderWithoutStateAndPeers, .for_s = 60}}, 0.01);
  table.last().options.controllers = 5;
  table.Add("siblings_refuse",
            "A takeover depends on messages between controllers.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 30, .kind = kPeerMessagesLost, .for_s = 60},
                {.at_s = 40, .kind = kLeaderCrash, .restart_s = 3},
            },
            0.01);
  table.Add("silent_for_long",
            "Requests that a partition held for a minute undo what came after.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 40, .kind = kLeaderPartition, .for_s = 70},
                {.at_s = 55, .kind = kFollowerPartition, .for_s = 70},
                {.at_s = 70, .kind = kLeaderCrash, .restart_s = 0.2},
            });
  table.last().options.controllers = 5;
  table.Add(
      "cut_in_part",
      "A controller that is cut off in part, each time differently, leads on.",
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
  table.Add("leader_cut_from_workers",
            "A leader that workers can't reach keeps the lead while their "
            "leases run out.",
            ExpectedProgress::kSomeJobs,
            {{.at_s = 50, .kind = kLeaderPartitionedFromWorkers, .for_s = 30}});
}

// The state service fails, for all or for one.
void AddStateServiceFaults(ScenarioTable& table) {
  table.Add("state_outage",
            "A leader gives up, or starts tasks, while it can store nothing.",
            ExpectedProgress::kAllJobs,
            {{.at_s = 50, .kind = kStateServiceOutage, .for_s = 22}});
  table.Add("outage_and_crash",
            "Controllers that start in an outage invent a state of their own.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 50, .kind = kStateServiceOutage, .for_s = 25},
                {.at_s = 70, .kind = kAllControllersCrash, .restart_s = 3},
            });
  table.Add("state_refuses_leader",
            "A leader that is refused alone holds up everybody else.",
            ExpectedProgress::kAllJobs,
            {{.at_s = 50, .kind = kStateServiceRefusesLeader, .for_s = 40}},
            0.01);
  table.Add("state_slow",
            "A slow answer is taken for a refusal, and a stored record is "
            "written over.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 40, .kind = kStateServiceSlow, .for_s = 60},
                {.at_s = 60, .kind = kLeaderCrash, .restart_s = 3},
            });
  table.last().options.controllers = 5;
}

// Zones are cut off from each other.
void AddZonePartitions(ScenarioTable& table) {
  table.Add(
      "zone_cut",
      "Tasks are started anew while they run on in a zone that is cut off.",
      ExpectedProgress::kSomeJobs,
      {
          {.at_s = 50, .kind = kZonePartition, .for_s = 40},
          {.at_s = 60, .kind = kLeaderCrash, .restart_s = 3},
      });
  table.Add("old_leader_keeps_its_zone",
            "A leader that has lost its lease goes on serving the workers of "
            "its zone.",
            ExpectedProgress::kSomeJobs,
            {
                {.at_s = 50, .kind = kStateServiceRefusesLeader, .for_s = 60},
                {.at_s = 50, .kind = kZonePartition, .for_s = 60},
            },
            0.02);
  table.Add("old_leader_and_cancels",
            "A leader that has lost its lease starts jobs that were cancelled "
            "elsewhere.",
            ExpectedProgress::kSomeJobs,
            {
                {.at_s = 50, .kind = kStateServiceRefusesLeader, .for_s = 120},
                {.at_s = 50, .kind = kZonePartition, .for_s = 120},
            });
  table.last().options.cancel_share = 0.6;
  table.last().options.run_time_factor = 4;
  table.last().options.policy.speculation_limit_s = 900;
}

// Machines crash, hang, or lose part of their connections.
void AddMachineFaults(ScenarioTable& table) {
  table.Add("machines_die",
            "Tasks of machines that crash around a takeover are lost or "
            "counted twice.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 40, .kind = kMachineCrash},
                {.at_s = 41, .kind = kLeaderCrash, .restart_s = 3},
                {.at_s = 60, .kind = kMachineCrash},
            });
  table.Add("machine_cut",
            "A task is started elsewhere before a machine that is cut off has "
            "stopped it.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 40, .kind = kMachinePartition, .for_s = 40},
                {.at_s = 45, .kind = kLeaderCrash, .restart_s = 3},
            },
            0.01);
  table.Add(
      "machine_hangs",
      "A task is started elsewhere before a machine that hangs has stopped it.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 40, .kind = kMachineHang, .for_s = 10},
          {.at_s = 60, .kind = kMachineHang, .for_s = 60},
          {.at_s = 61, .kind = kLeaderCrash, .restart_s = 3},
      });
  table.Add(
      "machine_sick", "A machine that fails every task keeps getting tasks.",
      ExpectedProgress::kAllJobs, {{.at_s = 40, .kind = kMachineFailsTasks}});
  table.Add("machine_deaf",
            "A machine that hears no commands keeps its tasks for ever.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 30, .kind = kMachineInboundLoss, .for_s = 200},
                {.at_s = 35, .kind = kMachineInboundLoss, .for_s = 200},
                {.at_s = 50, .kind = kLeaderCrash, .restart_s = 3},
                {.at_s = 52, .kind = kMachineInboundLoss, .for_s = 60},
            });
  table.last().options.controllers = 5;
}

// The cloud takes machines back, fails, or boots them unusually.
void AddCloudFaults(ScenarioTable& table) {
  table.Add("spot_wave",
            "Half of the spot machines go at once, with all their tasks.",
            ExpectedProgress::kAllJobs,
            {{.at_s = 50, .kind = kSpotPreemptionWave}}, 0.01);
  table.last().options.spot_preemptions_per_hour = 30;
  table.Add("cloud_outage",
            "Machines are provisioned twice, or forgotten, after an outage.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 40, .kind = kCloudOutage, .for_s = 40},
                {.at_s = 45, .kind = kMachineCrash},
                {.at_s = 46, .kind = kLeaderCrash, .restart_s = 3},
            });
  table.last().options.boot_failure_probability = 0.2;
  table.Add(
      "boots_late",
      "Machines that boot slowly are taken for lost and provisioned again.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 0, .kind = kSlowBoots, .for_s = 60},
          {.at_s = 50, .kind = kLeaderCrash, .restart_s = 3},
      });
  table.Add("boots_at_once",
            "A machine that reports before its provisioning is answered is "
            "released as unknown.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 0, .kind = kInstantBoots, .for_s = 80},
                {.at_s = 40, .kind = kLeaderCrash, .restart_s = 0.3},
            },
            0.01);
}

// More work, clients or failures than the cluster can serve.
void AddUnusualWorkloads(ScenarioTable& table) {
  table.Add("overload",
            "Some jobs never start while there is more work than room.",
            ExpectedProgress::kSomeJobs, {});
  table.last().options.jobs = 100;
  table.last().options.run_time_factor = 1.7;
  table.last().options.duration_s = 500;
  table.last().options.policy.speculation_limit_s = 900;
  table.Add("broken_jobs",
            "Machines are released as faulty for jobs that fail everywhere.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 40, .kind = kMachineFailsTasks},
                {.at_s = 55, .kind = kLeaderCrash, .restart_s = 3},
                {.at_s = 70, .kind = kMachineFailsTasks},
            });
  table.last().options.failing_job_share = 0.3;
  table.Add("poll_storm", "Polls hold up heartbeats and takeovers.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 40, .kind = kPollOverload, .for_s = 40},
                {.at_s = 50, .kind = kLeaderCrash, .restart_s = 3},
                {.at_s = 60, .kind = kStateServiceSlow, .for_s = 15},
            });
  table.last().options.controllers = 5;
  table.Add("guests",
            "A team without a guarantee takes what others are guaranteed.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 45, .kind = kLeaderCrash, .restart_s = 3},
                {.at_s = 60, .kind = kLeaderPause, .for_s = 5},
            });
  table.last().options.best_effort_team = true;
}

// Many of the faults above, one upon the other.
void AddManyFaults(ScenarioTable& table) {
  table.Add(
      "on_no_list", "Faults that are each handled alone break a rule together.",
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
            "Faults that are each handled alone break a rule together.",
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
  AddMachineFaults(table);
  AddCloudFaults(table);
  AddUnusualWorkloads(table);
  AddManyFaults(table);
  return table.scenarios();
}

}  // namespace sorrelwood::test
