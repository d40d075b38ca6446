// Scenarios in which two or more faults overlap; docs/design.md ("When troubles
// meet") says what each combination may cause.
#include "simulation/scenarios/scenario.h"

namespace sorrelwood::test {
namespace {

using enum FaultKind;

// Uses tasks that may end during a failover, as in the basic scenarios.
void UseShortTasks(Scenario& scenario) {
  scenario.options.run_time_factor = 1;
  scenario.options.policy.speculation_limit_s = kShortSpeculationS;
}

std::vector<Fault> RefusalThenOutage() {
  std::vector<Fault> faults;
  for (const double at_s : {55.0, 150.0})
    faults.insert(
        faults.end(),
        {{.at_s = at_s, .kind = kStateServiceRefusesLeader, .for_s = 14},
         {.at_s = at_s + 0.3, .kind = kCancelRunningJobs, .count = 6},
         {.at_s = at_s + 2, .kind = kStateServiceOutage, .for_s = 59}});
  return faults;
}

// Another controller leads briefly between the refusal and the outage.
std::vector<Fault> ElectionJustBeforeOutage() {
  std::vector<Fault> faults;
  for (const double at_s : {50.0, 140.0})
    for (const double later_s : {4.4, 4.7, 5.0, 5.4})
      faults.insert(
          faults.end(),
          {{.at_s = at_s, .kind = kStateServiceRefusesLeader, .for_s = 30},
           {.at_s = at_s + 0.5, .kind = kCancelRunningJobs, .count = 5},
           {.at_s = at_s + later_s, .kind = kStateServiceOutage, .for_s = 45}});
  return faults;
}

std::vector<Fault> TenLeaders() {
  constexpr int kCrashes = 10;
  std::vector<Fault> faults;
  faults.reserve(kCrashes);
  for (int i = 0; i < kCrashes; ++i)
    faults.push_back({.at_s = 40.0 + 12 * i,
                      .kind = kLeaderCrash,
                      .restart_s = i % 2 ? 0.2 : 6});
  faults.insert(faults.end(),
                {{.at_s = 63, .kind = kStateServiceOutage, .for_s = 30},
                 {.at_s = 64, .kind = kCancelRunningJobs, .count = 3},
                 {.at_s = 110, .kind = kCancelRunningJobs, .count = 3}});
  return faults;
}

std::vector<Fault> RapidLeaderChanges() {
  std::vector<Fault> faults = LeaderCrashes(30, 45, 2.2, 0.1);
  faults.push_back({.at_s = 46, .kind = kCancelRunningJobs, .count = 6});
  faults.push_back({.at_s = 60, .kind = kCancelRunningJobs, .count = 6});
  return faults;
}

// The state service refuses only the leader, then all controllers for longer
// than the cancellation deadline, while clients cancel through another
// controller.
void AddStateServiceRefusals(ScenarioTable& table) {
  // "gap" is the time in which the leader cannot read cancellations.
  table.Add("gap",
            "A leader starts jobs whose cancellation was confirmed while it "
            "could not read the state service.",
            ExpectedProgress::kSomeJobs, RefusalThenOutage());
  table.last().options.run_time_factor = 4;
  table.last().options.cancel_share = 0.4;
  table.Add("elected_before_the_outage",
            "A controller that leads only briefly before the outage starts "
            "cancelled jobs.",
            ExpectedProgress::kSomeJobs, ElectionJustBeforeOutage());
  table.last().options.run_time_factor = 4;
  table.last().options.cancel_share = 0.4;
  table.Add("slow_then_refused",
            "A leader answers from an outdated view of the jobs when a slow "
            "state service becomes unavailable.",
            ExpectedProgress::kSomeJobs,
            {
                {.at_s = 35, .kind = kPollAllControllersOnChange, .for_s = 120},
                {.at_s = 40, .kind = kStateServiceSlow, .for_s = 25},
                {.at_s = 50, .kind = kCancelRunningJobs, .count = 4},
                {.at_s = 60, .kind = kStateServiceRefusesLeader, .for_s = 14},
                {.at_s = 60.5, .kind = kCancelRunningJobs, .count = 4},
                {.at_s = 61, .kind = kStateServiceOutage, .for_s = 45},
            });
  table.Add(
      "alone_with_workers_and_users",
      "A leader that is connected only to workers and clients starts "
      "cancelled jobs.",
      ExpectedProgress::kSomeJobs,
      {
          {.at_s = 50, .kind = kLeaderWithoutStateAndPeers, .for_s = 60},
          {.at_s = 56, .kind = kCancelRunningJobs, .count = 4},
          {.at_s = 62, .kind = kCancelRunningJobs, .count = 4},
          {.at_s = 75, .kind = kCancelRunningJobs, .for_s = 10, .count = 4},
      });
}

// Leaders change faster than workers send heartbeats.
void AddRapidTakeovers(ScenarioTable& table) {
  table.Add("ten_leaders",
            "Small errors of each failover accumulate over ten failovers.",
            ExpectedProgress::kSomeJobs, TenLeaders());
  table.Add(
      "leaders_change_fast",
      "A leader draws wrong conclusions from heartbeats that carry the fencing "
      "token of another leader.",
      ExpectedProgress::kSomeJobs, RapidLeaderChanges());
  table.Add("hand_over_and_back",
            "A controller that leads again relies on its state from an earlier "
            "term.",
            ExpectedProgress::kSomeJobs,
            {
                {.at_s = 44.5, .kind = kCancelRunningJobs, .count = 3},
                {.at_s = 45, .kind = kLeaderCrash, .restart_s = 0.1},
                {.at_s = 46, .kind = kAllControllersCrash, .restart_s = 0.3},
                {.at_s = 46.2, .kind = kCancelRunningJobs, .count = 3},
                {.at_s = 47, .kind = kLeaderCrash, .restart_s = 0.2},
                {.at_s = 48, .kind = kFollowerCrash, .restart_s = 0.1},
                {.at_s = 60, .kind = kAllControllersCrash, .restart_s = 20},
                {.at_s = 62, .kind = kAllControllersCrash, .restart_s = 0.5},
                {.at_s = 62.5, .kind = kCancelRunningJobs, .count = 3},
            });
}

// Machines are silent, hung or lost while the leader changes.
void AddMachineFaultsAtTakeovers(ScenarioTable& table) {
  table.Add(
      "silent_machines_at_a_takeover",
      "Tasks that may still run on machines that are silent during a failover "
      "are started again.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 45, .kind = kMachinePartition, .for_s = 30, .count = 4},
          {.at_s = 46, .kind = kMachineInboundLoss, .for_s = 25, .count = 3},
          {.at_s = 48, .kind = kLeaderCrash, .restart_s = 3},
          {.at_s = 49, .kind = kMachinePartition, .for_s = 10, .count = 3},
          {.at_s = 75, .kind = kLeaderCrash, .restart_s = 0.2},
      });
  table.Add(
      "all_away_for_a_lease",
      "After more than a worker lease without controllers, the stored records "
      "do not match the tasks on the machines.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 50, .kind = kMachinePartition, .for_s = 30, .count = 3},
          {.at_s = 55, .kind = kAllControllersCrash, .restart_s = 40},
          {.at_s = 60, .kind = kAllControllersCrash, .restart_s = 40},
      });
  table.Add("commands_held_up",
            "Commands that hung machines execute seconds late are applied to a "
            "changed state.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 40, .kind = kMachineHang, .for_s = 5, .count = 6},
                {.at_s = 47, .kind = kMachineHang, .for_s = 9, .count = 6},
                {.at_s = 50, .kind = kLeaderCrash, .restart_s = 3},
                {.at_s = 58, .kind = kMachineHang, .for_s = 12.5, .count = 6},
                {.at_s = 72, .kind = kMachineHang, .for_s = 16, .count = 6},
                {.at_s = 73, .kind = kLeaderCrash, .restart_s = 0.3},
            },
            0.01);
  table.Add("one_zone_loses_machines",
            "The restarted tasks of a single-zone job run in several zones.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 45, .kind = kMachineCrash, .count = 4},
                {.at_s = 55, .kind = kMachineHang, .for_s = 20, .count = 4},
                {.at_s = 57, .kind = kLeaderCrash, .restart_s = 0.3},
                {.at_s = 70, .kind = kMachineCrash, .count = 4},
                {.at_s = 71, .kind = kLeaderCrash, .restart_s = 3},
            });
  table.last().options.one_zone_share = 0.7;
}

// Controllers receive no heartbeats from machines that run tasks.
void AddSilentMachines(ScenarioTable& table) {
  table.Add(
      "limits_and_hangs",
      "Tasks on silent machines are not counted against the limit of their "
      "team.",
      ExpectedProgress::kSomeJobs,
      {
          {.at_s = 60, .kind = kCancelRunningJobs, .for_s = 30, .count = 6},
          {.at_s = 62, .kind = kLeaderCrash, .restart_s = 0.3},
          {.at_s = 80, .kind = kMachinePartition, .for_s = 20, .count = 5},
          {.at_s = 81, .kind = kCancelRunningJobs, .count = 6},
          {.at_s = 83, .kind = kLeaderCrash, .restart_s = 3},
      });
  table.last().options.jobs = 60;
  table.Add(
      "limits_and_mute_machines",
      "Tasks on machines whose heartbeats are lost are not counted against the "
      "limit of their team.",
      ExpectedProgress::kSomeJobs,
      {
          {.at_s = 60, .kind = kMachineOutboundLoss, .for_s = 30, .count = 5},
          {.at_s = 62, .kind = kLeaderCrash, .restart_s = 0.3},
          {.at_s = 64, .kind = kCancelRunningJobs, .count = 6},
          {.at_s = 90, .kind = kMachineInboundLoss, .for_s = 30, .count = 5},
          {.at_s = 92, .kind = kLeaderCrash, .restart_s = 3},
          {.at_s = 93, .kind = kCancelRunningJobs, .count = 6},
      });
  table.last().options.jobs = 60;
  // "mute": the machine receives commands but its heartbeats are lost.
  table.Add(
      "mute",
      "Machines whose heartbeats are lost keep running tasks that were "
      "restarted elsewhere.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 35, .kind = kMachineOutboundLoss, .for_s = 60, .count = 5},
          {.at_s = 50, .kind = kLeaderCrash, .restart_s = 3},
          {.at_s = 80, .kind = kMachineOutboundLoss, .for_s = 10, .count = 20},
      });
}

// Copies of heartbeats arrive late, or at the next leader.
void AddStaleHeartbeats(ScenarioTable& table) {
  table.Add("copies_for_the_next",
            "A new leader accepts copies of heartbeats that were sent to its "
            "predecessor.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 30,
                 .kind = kHeartbeatsReplayedToNextLeader,
                 .for_s = 80,
                 .share = 0.4},
                {.at_s = 45, .kind = kLeaderCrash, .restart_s = 0.2},
                {.at_s = 55, .kind = kMachineRestart},
                {.at_s = 60, .kind = kLeaderCrash, .restart_s = 3},
                {.at_s = 61, .kind = kSpotPreemptionWave},
                {.at_s = 75, .kind = kLeaderCrash, .restart_s = 3},
                {.at_s = 95, .kind = kAllControllersCrash, .restart_s = 0.5},
            });
  table.Add(
      "late_reports",
      "A heartbeat of an earlier incarnation that arrives after the restart of "
      "its worker is accepted.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 20,
           .kind = kHeartbeatsDuplicatedLate,
           .for_s = 120,
           .share = 0.3},
          {.at_s = 40, .kind = kMachineRestart},
          {.at_s = 45, .kind = kLeaderCrash, .restart_s = 3},
          {.at_s = 50, .kind = kMachinePartition, .for_s = 25, .count = 3},
          {.at_s = 70, .kind = kSpotPreemptionWave},
          {.at_s = 78, .kind = kLeaderCrash, .restart_s = 0.2},
          {.at_s = 80, .kind = kMachineCrash, .count = 3},
      });
}

// Transactions are executed late, or their responses are lost.
void AddLateWrites(ScenarioTable& table) {
  table.Add("answers_lost",
            "A committed change whose response was lost is reported to clients "
            "and later undone.",
            ExpectedProgress::kSomeJobs,
            {
                {.at_s = 20,
                 .kind = kTransactionAnswersLost,
                 .for_s = 80,
                 .share = 0.5},
                {.at_s = 20, .kind = kPollAllControllersOnChange, .for_s = 100},
                {.at_s = 55, .kind = kLeaderCrash, .restart_s = 0.3},
            });
  table.Add(
      "up_at_once_while_writes_lag",
      "A machine runs tasks before the record of its provisioning is stored.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 0, .kind = kInstantBoots, .for_s = 100},
          {.at_s = 5, .kind = kLateTransactions, .for_s = 90, .share = 0.3},
          {.at_s = 30, .kind = kLeaderCrash, .restart_s = 0.3},
          {.at_s = 50, .kind = kLeaderCrash, .restart_s = 3},
          {.at_s = 70, .kind = kLeaderCrash, .restart_s = 0.3},
      });
  table.Add(
      "late_writes", "A late write replaces a newer record.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 15, .kind = kLateTransactions, .for_s = 100, .share = 0.25},
          {.at_s = 50, .kind = kLeaderCrash, .restart_s = 0.2},
          {.at_s = 80, .kind = kLeaderCrash, .restart_s = 3},
      });
}

// Clients cancel jobs during other faults.
void AddCancellations(ScenarioTable& table) {
  table.Add(
      "zone_cut_and_cancels",
      "Jobs that were cancelled through one zone are started in the other.",
      ExpectedProgress::kSomeJobs,
      {
          {.at_s = 50, .kind = kZonePartition, .for_s = 40},
          {.at_s = 52, .kind = kCancelRunningJobs, .count = 5},
          {.at_s = 60, .kind = kLeaderCrash, .restart_s = 3},
          {.at_s = 70, .kind = kCancelRunningJobs, .count = 5},
          {.at_s = 85, .kind = kCancelRunningJobs, .for_s = 12, .count = 5},
      });
  table.Add(
      "cancels_while_work_changes_hands",
      "A cancellation is lost between two leaders.",
      ExpectedProgress::kSomeJobs,
      {
          {.at_s = 49.8, .kind = kCancelRunningJobs, .count = 3},
          {.at_s = 50, .kind = kLeaderCrash, .restart_s = 3},
          {.at_s = 50.2, .kind = kCancelRunningJobs, .count = 3},
          {.at_s = 53, .kind = kCancelRunningJobs, .for_s = 8, .count = 3},
          {.at_s = 54.5, .kind = kCancelRunningJobs, .count = 3},
          {.at_s = 56, .kind = kCancelRunningJobs, .for_s = 13, .count = 3},
          {.at_s = 70, .kind = kLeaderPause, .for_s = 6},
          {.at_s = 71, .kind = kCancelRunningJobs, .count = 3},
      });
  table.Add(
      "cancelled_at_the_end",
      "A job that ends as it is cancelled is reported both done and cancelled.",
      ExpectedProgress::kSomeJobs,
      {
          {.at_s = 1, .kind = kCancelAtCompletion, .for_s = 200, .share = 0.6},
          {.at_s = 1, .kind = kPollAllControllersOnChange, .for_s = 200},
      });
  UseShortTasks(table.last());
}

// Clients poll all controllers after each change, or submit unusual jobs.
void AddClientBehaviour(ScenarioTable& table) {
  // "close looks": clients poll all controllers right after each change.
  table.Add(
      "close_looks",
      "Two controllers report different states of a job at the same time.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 1, .kind = kPollAllControllersOnChange, .for_s = 200},
          {.at_s = 1, .kind = kUnusualRequests, .for_s = 200},
          {.at_s = 50, .kind = kLeaderCrash, .restart_s = 3},
      });
  UseShortTasks(table.last());
  table.Add("single_jobs",
            "Short single-task jobs are lost or run twice at a high submission "
            "rate.",
            ExpectedProgress::kSomeJobs,
            {
                {.at_s = 60, .kind = kLeaderCrash, .restart_s = 3},
                {.at_s = 80,
                 .kind = kTransactionAnswersLost,
                 .for_s = 15,
                 .share = 0.3},
                {.at_s = 90, .kind = kPollAllControllersOnChange, .for_s = 20},
            });
  UseShortTasks(table.last());
  table.last().seeds = 4;
  table.last().options.single_task_jobs_per_s = 4;
  table.last().options.jobs = 6;
  table.last().options.capacity_factor = 2;
  table.Add("ends_far_apart",
            "A job is reported done before its last task has ended.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 45, .kind = kLeaderCrash, .restart_s = 3},
                {.at_s = 60, .kind = kLeaderCrash, .restart_s = 0.2},
                {.at_s = 80, .kind = kAllControllersCrash, .restart_s = 2},
            });
  UseShortTasks(table.last());
  table.last().options.staggered_task_ends = true;
  table.Add(
      "more_work_than_room",
      "Some jobs never start on a full cluster with a slow state service.",
      ExpectedProgress::kSomeJobs,
      {
          {.at_s = 40, .kind = kStateServiceSlow, .for_s = 60},
          {.at_s = 70, .kind = kLeaderCrash, .restart_s = 3},
      });
  table.last().options.jobs = 60;
  table.last().options.max_watch_delay_s = 0.5;
  table.last().options.duration_s = 500;
}

// Most of the faults above at once.
void AddAllTogether(ScenarioTable& table) {
  table.Add(
      "all_meet",
      "Faults that are tolerated in pairs break an invariant when many "
      "overlap.",
      ExpectedProgress::kSomeJobs,
      {
          {.at_s = 15, .kind = kPollAllControllersOnChange, .for_s = 150},
          {.at_s = 15, .kind = kUnusualRequests, .for_s = 150},
          {.at_s = 20, .kind = kLateTransactions, .for_s = 100, .share = 0.1},
          {.at_s = 20,
           .kind = kHeartbeatsDuplicatedLate,
           .for_s = 120,
           .share = 0.15},
          {.at_s = 25,
           .kind = kHeartbeatsReplayedToNextLeader,
           .for_s = 100,
           .share = 0.2},
          {.at_s = 30, .kind = kCancelAtCompletion, .for_s = 60, .share = 0.3},
          {.at_s = 40, .kind = kMachineOutboundLoss, .for_s = 30, .count = 3},
          {.at_s = 45, .kind = kLeaderCrash, .restart_s = 0.2},
          {.at_s = 52, .kind = kCancelRunningJobs, .for_s = 12, .count = 3},
          {.at_s = 55, .kind = kStateServiceRefusesLeader, .for_s = 10},
          {.at_s = 56, .kind = kCancelRunningJobs, .count = 3},
          {.at_s = 57, .kind = kStateServiceOutage, .for_s = 42},
          {.at_s = 60, .kind = kMachineInboundLoss, .for_s = 40, .count = 3},
          {.at_s = 100,
           .kind = kTransactionAnswersLost,
           .for_s = 30,
           .share = 0.4},
          {.at_s = 105, .kind = kAllControllersCrash, .restart_s = 0.3},
          {.at_s = 115, .kind = kLeaderWithoutStateAndPeers, .for_s = 30},
          {.at_s = 117, .kind = kCancelRunningJobs, .count = 3},
      });
}

}  // namespace

std::vector<Scenario> CombinedScenarios() {
  constexpr uint64_t kSeeds = 16;
  SimulationOptions options = SmallClusterOptions();
  options.controllers = 5;
  options.run_time_factor = 3;  // tasks outlast a failover
  options.policy.speculation_limit_s = 900;
  ScenarioTable table(kSeeds, options);
  AddStateServiceRefusals(table);
  AddRapidTakeovers(table);
  AddMachineFaultsAtTakeovers(table);
  AddSilentMachines(table);
  AddStaleHeartbeats(table);
  AddLateWrites(table);
  AddCancellations(table);
  AddClientBehaviour(table);
  AddAllTogether(table);
  return table.scenarios();
}

}  // namespace sorrelwood::test
