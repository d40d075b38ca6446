#include "simulation/scenarios.h"

#include <algorithm>
#include <string>
#include <utility>

namespace sorrelwood::test {

using Fault = SimulationOptions::Fault;

Scenario MakeScenario(const char* name, bool all_done,
                      std::vector<Fault> faults, double noise) {
  Scenario s{name, {}, all_done};
  s.options.faults = std::move(faults);
  s.options.lose = noise;
  s.options.late = noise;
  s.options.repeat = noise;
  s.options.policy.speculation_limit_s = 15;
  s.options.policy.wait_limit_s = 20;
  s.options.policy.predictor_fit_interval_s = 30;
  return s;
}

namespace {

Fault Some(double at_s, Fault::Kind kind, double for_s, size_t count) {
  Fault fault{at_s, kind, for_s, 0};
  fault.count = count;
  return fault;
}

Fault Share(double at_s, Fault::Kind kind, double for_s, double share) {
  Fault fault{at_s, kind, for_s, 0};
  fault.share = share;
  return fault;
}

// Two troubles and more at once, as docs/design.md lists them.
// NOLINTNEXTLINE(readability-function-size): a table.
std::vector<Scenario> Meetings() {
  // The state service refuses the leader alone, then everybody for longer than
  // a cancellation has (39 s), while users cancel through another node.
  Scenario gap = MakeScenario("gap", false, {});
  for (const double at : {55.0, 150.0})
    gap.options.faults.insert(gap.options.faults.end(),
                              {Some(at, Fault::kStateRefusesLeader, 14, 1),
                               Some(at + 0.3, Fault::kCancelNow, 0, 6),
                               Some(at + 2, Fault::kStateOutage, 59, 1)});
  // Another leads between the refusal and the outage, for an instant.
  Scenario elected = MakeScenario("elected_before_the_outage", false, {});
  for (const double at : {50.0, 140.0})
    for (const double later : {4.4, 4.7, 5.0, 5.4})
      elected.options.faults.insert(
          elected.options.faults.end(),
          {Some(at, Fault::kStateRefusesLeader, 30, 1),
           Some(at + 0.5, Fault::kCancelNow, 0, 5),
           Some(at + later, Fault::kStateOutage, 45, 1)});
  Scenario leaders = MakeScenario("ten_leaders", false, {});
  for (int i = 0; i < 10; ++i)
    leaders.options.faults.push_back(
        {40.0 + 12 * i, Fault::kCrashLeader, 0, i % 2 ? 0.2 : 6});
  leaders.options.faults.insert(
      leaders.options.faults.end(),
      {Some(63, Fault::kStateOutage, 30, 1), Some(64, Fault::kCancelNow, 0, 3),
       Some(110, Fault::kCancelNow, 0, 3)});
  // So fast that few reports show the token of the leader that hears them.
  Scenario fast = MakeScenario("leaders_change_fast", false, {});
  for (int i = 0; i < 30; ++i)
    fast.options.faults.push_back(
        {45.0 + 2.2 * i, Fault::kCrashLeader, 0, 0.1});
  fast.options.faults.push_back(Some(46, Fault::kCancelNow, 0, 6));
  fast.options.faults.push_back(Some(60, Fault::kCancelNow, 0, 6));
  Scenario over = MakeScenario("hand_over_and_back", false,
                               {Some(44.5, Fault::kCancelNow, 0, 3),
                                {45, Fault::kCrashLeader, 0, 0.1},
                                {46, Fault::kCrashAll, 0, 0.3},
                                Some(46.2, Fault::kCancelNow, 0, 3),
                                {47, Fault::kCrashLeader, 0, 0.2},
                                {48, Fault::kCrashOther, 0, 0.1},
                                {60, Fault::kCrashAll, 0, 20},
                                {62, Fault::kCrashAll, 0, 0.5},
                                Some(62.5, Fault::kCancelNow, 0, 3)});
  std::vector<Scenario> all = {
      gap,
      elected,
      MakeScenario("silent_machines_at_a_takeover", true,
                   {Some(45, Fault::kMachineCut, 30, 4),
                    Some(46, Fault::kMachineDeaf, 25, 3),
                    {48, Fault::kCrashLeader, 0, 3},
                    Some(49, Fault::kMachineCut, 10, 3),
                    {75, Fault::kCrashLeader, 0, 0.2}}),
      MakeScenario("answers_lost", false,
                   {Share(20, Fault::kAnswersLost, 80, 0.5),
                    Some(20, Fault::kCloseLooks, 100, 1),
                    {55, Fault::kCrashLeader, 0, 0.3}}),
      MakeScenario("all_away_for_a_lease", true,
                   {Some(50, Fault::kMachineCut, 30, 3),
                    {55, Fault::kCrashAll, 0, 40},
                    {60, Fault::kCrashAll, 0, 40}}),
      MakeScenario("copies_for_the_next", true,
                   {Share(30, Fault::kCopiesForNext, 80, 0.4),
                    {45, Fault::kCrashLeader, 0, 0.2},
                    Some(55, Fault::kMachineBack, 0, 1),
                    {60, Fault::kCrashLeader, 0, 3},
                    {61, Fault::kSpotWave, 0, 0},
                    {75, Fault::kCrashLeader, 0, 3},
                    {95, Fault::kCrashAll, 0, 0.5}}),
      MakeScenario("commands_held_up", true,
                   {Some(40, Fault::kMachineHangs, 5, 6),
                    Some(47, Fault::kMachineHangs, 9, 6),
                    {50, Fault::kCrashLeader, 0, 3},
                    Some(58, Fault::kMachineHangs, 12.5, 6),
                    Some(72, Fault::kMachineHangs, 16, 6),
                    {73, Fault::kCrashLeader, 0, 0.3}},
                   0.01),
      MakeScenario("zone_cut_and_cancels", false,
                   {{50, Fault::kZoneCut, 40, 0},
                    Some(52, Fault::kCancelNow, 0, 5),
                    {60, Fault::kCrashLeader, 0, 3},
                    Some(70, Fault::kCancelNow, 0, 5),
                    Some(85, Fault::kCancelNow, 12, 5)}),
      MakeScenario("late_reports", true,
                   {Share(20, Fault::kLateReports, 120, 0.3),
                    Some(40, Fault::kMachineBack, 0, 1),
                    {45, Fault::kCrashLeader, 0, 3},
                    Some(50, Fault::kMachineCut, 25, 3),
                    {70, Fault::kSpotWave, 0, 0},
                    {78, Fault::kCrashLeader, 0, 0.2},
                    Some(80, Fault::kMachineDies, 0, 3)}),
      MakeScenario("up_at_once_while_writes_lag", true,
                   {{0, Fault::kBootsAtOnce, 100, 0},
                    Share(5, Fault::kLateWrites, 90, 0.3),
                    {30, Fault::kCrashLeader, 0, 0.3},
                    {50, Fault::kCrashLeader, 0, 3},
                    {70, Fault::kCrashLeader, 0, 0.3}}),
      MakeScenario("slow_then_refused", false,
                   {Some(35, Fault::kCloseLooks, 120, 1),
                    {40, Fault::kStateSlow, 25, 0},
                    Some(50, Fault::kCancelNow, 0, 4),
                    {60, Fault::kStateRefusesLeader, 14, 0},
                    Some(60.5, Fault::kCancelNow, 0, 4),
                    {61, Fault::kStateOutage, 45, 0}}),
      MakeScenario("one_zone_loses_machines", true,
                   {Some(45, Fault::kMachineDies, 0, 4),
                    Some(55, Fault::kMachineHangs, 20, 4),
                    {57, Fault::kCrashLeader, 0, 0.3},
                    Some(70, Fault::kMachineDies, 0, 4),
                    {71, Fault::kCrashLeader, 0, 3}}),
      MakeScenario("ends_far_apart", true,
                   {{45, Fault::kCrashLeader, 0, 3},
                    {60, Fault::kCrashLeader, 0, 0.2},
                    {80, Fault::kCrashAll, 0, 2}}),
      MakeScenario("cancels_while_work_changes_hands", false,
                   {Some(49.8, Fault::kCancelNow, 0, 3),
                    {50, Fault::kCrashLeader, 0, 3},
                    Some(50.2, Fault::kCancelNow, 0, 3),
                    Some(53, Fault::kCancelNow, 8, 3),
                    Some(54.5, Fault::kCancelNow, 0, 3),
                    Some(56, Fault::kCancelNow, 13, 3),
                    {70, Fault::kLeaderStops, 6, 0},
                    Some(71, Fault::kCancelNow, 0, 3)}),
      over,
      MakeScenario("cancelled_at_the_end", false,
                   {Share(1, Fault::kCancelAtEnd, 200, 0.6),
                    Some(1, Fault::kCloseLooks, 200, 1)}),
      MakeScenario("alone_with_workers_and_users", false,
                   {{50, Fault::kLeaderAlone, 60, 0},
                    Some(56, Fault::kCancelNow, 0, 4),
                    Some(62, Fault::kCancelNow, 0, 4),
                    Some(75, Fault::kCancelNow, 10, 4)}),
      MakeScenario("close_looks", true,
                   {Some(1, Fault::kCloseLooks, 200, 1),
                    Some(1, Fault::kOddRequests, 200, 1),
                    {50, Fault::kCrashLeader, 0, 3}}),
      MakeScenario("single_jobs", false,
                   {{60, Fault::kCrashLeader, 0, 3},
                    Share(80, Fault::kAnswersLost, 15, 0.3),
                    Some(90, Fault::kCloseLooks, 20, 1)}),
      MakeScenario("limits_and_hangs", false,
                   {Some(60, Fault::kCancelNow, 30, 6),
                    {62, Fault::kCrashLeader, 0, 0.3},
                    Some(80, Fault::kMachineCut, 20, 5),
                    Some(81, Fault::kCancelNow, 0, 6),
                    {83, Fault::kCrashLeader, 0, 3}}),
      MakeScenario("limits_and_mute_machines", false,
                   {Some(60, Fault::kMachinesMute, 30, 5),
                    {62, Fault::kCrashLeader, 0, 0.3},
                    Some(64, Fault::kCancelNow, 0, 6),
                    Some(90, Fault::kMachineDeaf, 30, 5),
                    {92, Fault::kCrashLeader, 0, 3},
                    Some(93, Fault::kCancelNow, 0, 6)}),
      leaders,
      fast,
      MakeScenario(
          "more_work_than_room", false,
          {{40, Fault::kStateSlow, 60, 0}, {70, Fault::kCrashLeader, 0, 3}}),
      MakeScenario("late_writes", true,
                   {Share(15, Fault::kLateWrites, 100, 0.25),
                    {50, Fault::kCrashLeader, 0, 0.2},
                    {80, Fault::kCrashLeader, 0, 3}}),
      MakeScenario("mute", true,
                   {Some(35, Fault::kMachinesMute, 60, 5),
                    {50, Fault::kCrashLeader, 0, 3},
                    Some(80, Fault::kMachinesMute, 10, 20)}),
      MakeScenario("all_meet", false,
                   {Some(15, Fault::kCloseLooks, 150, 1),
                    Some(15, Fault::kOddRequests, 150, 1),
                    Share(20, Fault::kLateWrites, 100, 0.1),
                    Share(20, Fault::kLateReports, 120, 0.15),
                    Share(25, Fault::kCopiesForNext, 100, 0.2),
                    Share(30, Fault::kCancelAtEnd, 60, 0.3),
                    Some(40, Fault::kMachinesMute, 30, 3),
                    {45, Fault::kCrashLeader, 0, 0.2},
                    Some(52, Fault::kCancelNow, 12, 3),
                    {55, Fault::kStateRefusesLeader, 10, 0},
                    Some(56, Fault::kCancelNow, 0, 3),
                    {57, Fault::kStateOutage, 42, 0},
                    Some(60, Fault::kMachineDeaf, 40, 3),
                    Share(100, Fault::kAnswersLost, 30, 0.4),
                    {105, Fault::kCrashAll, 0, 0.3},
                    {115, Fault::kLeaderAlone, 30, 0},
                    Some(117, Fault::kCancelNow, 0, 3)}),
  };
  for (Scenario& s : all) {
    const std::string name = s.name;
    SimulationOptions& o = s.options;
    o.nodes = 5;
    s.seeds = name == "single_jobs" ? 4 : 16;  // some take a second each
    if (name != "single_jobs" && name != "cancelled_at_the_end" &&
        name != "ends_far_apart" && name != "close_looks") {
      o.run_factor = 3;  // so that tasks outlast a takeover
      o.policy.speculation_limit_s = 900;
    }
    if (name == "gap" || name == "elected_before_the_outage") {
      o.run_factor = 4;
      o.cancel_share = 0.4;
    }
    if (name == "one_zone_loses_machines") o.one_zone_share = 0.7;
    if (name == "ends_far_apart") o.ends_far_apart = true;
    if (name == "single_jobs") {
      o.singles_per_s = 4;
      o.jobs = 6;
      o.capacity_factor = 2;
    }
    if (name == "limits_and_hangs" || name == "limits_and_mute_machines" ||
        name == "more_work_than_room")
      o.jobs = 60;
    if (name == "more_work_than_room") {
      o.watch_delay_s = 0.5;
      o.duration_s = 500;
    }
  }
  return all;
}

// Services beside other work, and the roll to the version that knows the state
// service's coming limits.
std::vector<Scenario> ServicesAndRolls() {
  std::vector<Scenario> all = {
      MakeScenario("services", true, {}),
      MakeScenario("services_lose_machines", true,
                   {Some(50, Fault::kMachineDies, 0, 3),
                    Some(70, Fault::kMachineCut, 30, 4),
                    Some(90, Fault::kMachineHangs, 9, 5),
                    {110, Fault::kSpotWave, 0, 0},
                    Some(120, Fault::kMachineHangs, 25, 4)},
                   0.01),
      MakeScenario("services_change_leaders", true,
                   {{45, Fault::kCrashLeader, 0, 3},
                    Some(60, Fault::kMachineCut, 30, 4),
                    {62, Fault::kCrashLeader, 0, 0.2},
                    {80, Fault::kCrashAll, 0, 3},
                    {110, Fault::kCrashLeader, 0, 0.2},
                    Some(112, Fault::kMachineDeaf, 40, 3)},
                   0.01),
      MakeScenario("services_in_outages", true,
                   {{50, Fault::kStateOutage, 22, 0},
                    {60, Fault::kCloudOutage, 40, 0},
                    Some(62, Fault::kMachineDies, 0, 3),
                    {90, Fault::kZoneCut, 30, 0},
                    {100, Fault::kCrashLeader, 0, 3},
                    {140, Fault::kStateRefusesLeader, 30, 0}}),
      MakeScenario(
          "replicas_end", true,
          {{60, Fault::kMachineSick, 0, 0}, {70, Fault::kCrashLeader, 0, 3}},
          0.01),
      MakeScenario("services_cancelled", false,
                   {{50, Fault::kCrashLeader, 0, 3},
                    Some(60, Fault::kCancelNow, 12, 4),
                    {62, Fault::kStateRefusesLeader, 14, 0},
                    Some(63, Fault::kCancelNow, 0, 4),
                    {65, Fault::kStateOutage, 45, 0},
                    Some(130, Fault::kCancelNow, 0, 4)},
                   0.01),
      MakeScenario("roll", true, {}),
      MakeScenario("roll_in_trouble", true,
                   {{18, Fault::kCrashLeader, 0, 0.2},
                    {23, Fault::kCrashOther, 0, 0.3},
                    Some(24, Fault::kMachineCut, 20, 4),
                    {27, Fault::kCrashAll, 0, 3},
                    {36, Fault::kCrashLeader, 0, 0.2},
                    Share(15, Fault::kLateWrites, 40, 0.1),
                    Share(15, Fault::kLateReports, 60, 0.2),
                    {70, Fault::kCrashLeader, 0, 3},
                    {75, Fault::kSpotWave, 0, 0}},
                   0.01),
      MakeScenario("limits_fall_with_leaders", true,
                   {{50, Fault::kCrashLeader, 0, 0.2},
                    {62, Fault::kCrashLeader, 0, 3},
                    Some(66, Fault::kMachineDies, 0, 3),
                    {70, Fault::kCrashAll, 0, 2},
                    {80, Fault::kStateSlow, 20, 0}}),
      MakeScenario("services_meet_all", false,
                   {{18, Fault::kCrashLeader, 0, 0.2},
                    Some(40, Fault::kMachinesMute, 30, 3),
                    Share(50, Fault::kLateWrites, 40, 0.1),
                    Share(50, Fault::kCopiesForNext, 60, 0.2),
                    Share(50, Fault::kLateReports, 60, 0.2),
                    {60, Fault::kCrashLeader, 0, 0.2},
                    Some(61, Fault::kCancelNow, 12, 3),
                    {75, Fault::kStateRefusesLeader, 10, 0},
                    {77, Fault::kStateOutage, 42, 0},
                    Some(80, Fault::kMachineDeaf, 40, 3),
                    {125, Fault::kCrashAll, 0, 0.3},
                    {130, Fault::kLeaderAlone, 30, 0},
                    {150, Fault::kMachineSick, 0, 0}},
                   0.01),
  };
  for (Scenario& s : all) {
    const std::string name = s.name;
    SimulationOptions& o = s.options;
    s.seeds = 10;
    o.nodes = 5;
    o.services = 4;
    o.duration_s = 600;
    o.jobs = 16;
    // What services leave of a limit is little.
    o.policy.speculation_limit_s = 900;
    if (name == "services_in_outages" || name == "services_lose_machines")
      o.run_factor = 2;
    if (name == "replicas_end") {
      o.replica_ends_share = 0.5;
      o.spinning_service = true;
    }
    if (name == "services_cancelled") o.cancel_share = 0.7;
    if (name.find("roll") == 0 || name == "limits_fall_with_leaders" ||
        name == "services_meet_all") {
      o.roll_at_s = 15;
      o.services_from_s = 50;  // nothing new is asked before
      o.limits_fall_at_s = name == "limits_fall_with_leaders" ? 58 : 60;
      o.rate_limits = true;
      o.long_array = true;
      o.run_factor = 2;
    }
  }
  return all;
}

}  // namespace

// NOLINTNEXTLINE(readability-function-size): a table.
std::vector<Scenario> Scenarios() {
  std::vector<Scenario> all = {
      MakeScenario("quiet", true, {}),
      MakeScenario("noisy", true, {}, 0.02),
      MakeScenario("leader_crash", true, {{50, Fault::kCrashLeader, 0, 3}}),
      MakeScenario("leader_crash_noisy", true,
                   {{50, Fault::kCrashLeader, 0, 3}}, 0.02),
      MakeScenario("leader_back_at_once", true,
                   {{40, Fault::kCrashLeader, 0, 0.2},
                    {42, Fault::kCrashLeader, 0, 0.2},
                    {44, Fault::kCrashLeader, 0, 0.2}}),
      MakeScenario("all_crash", true, {{60, Fault::kCrashAll, 0, 4}}, 0.01),
      MakeScenario("state_outage", true, {{50, Fault::kStateOutage, 22, 0}}),
      MakeScenario(
          "outage_and_crash", true,
          {{50, Fault::kStateOutage, 25, 0}, {70, Fault::kCrashAll, 0, 3}}),
      MakeScenario("state_refuses_leader", true,
                   {{50, Fault::kStateRefusesLeader, 40, 0}}, 0.01),
      MakeScenario("machines_die", true,
                   {{40, Fault::kMachineDies, 0, 0},
                    {41, Fault::kCrashLeader, 0, 3},
                    {60, Fault::kMachineDies, 0, 0}}),
      MakeScenario(
          "machine_cut", true,
          {{40, Fault::kMachineCut, 40, 0}, {45, Fault::kCrashLeader, 0, 3}},
          0.01),
      MakeScenario("machine_hangs", true,
                   {{40, Fault::kMachineHangs, 10, 0},
                    {60, Fault::kMachineHangs, 60, 0},
                    {61, Fault::kCrashLeader, 0, 3}}),
      MakeScenario("machine_sick", true, {{40, Fault::kMachineSick, 0, 0}}),
      MakeScenario("spot_wave", true, {{50, Fault::kSpotWave, 0, 0}}, 0.01),
      MakeScenario("cloud_outage", true,
                   {{40, Fault::kCloudOutage, 40, 0},
                    {45, Fault::kMachineDies, 0, 0},
                    {46, Fault::kCrashLeader, 0, 3}}),
      MakeScenario("leader_cut_from_workers", false,
                   {{50, Fault::kLeaderCutFromWorkers, 30, 0}}),
      MakeScenario(
          "zone_cut", false,
          {{50, Fault::kZoneCut, 40, 0}, {60, Fault::kCrashLeader, 0, 3}}),
      MakeScenario("old_leader_keeps_its_zone", false,
                   {{50, Fault::kStateRefusesLeader, 60, 0},
                    {50, Fault::kZoneCut, 60, 0}},
                   0.02),
      MakeScenario("slow_answers", false,
                   {{40, Fault::kCrashLeader, 0, 0.3},
                    {52, Fault::kStateRefusesLeader, 8, 0},
                    {70, Fault::kStateRefusesLeader, 8, 0},
                    {90, Fault::kCrashLeader, 0, 0.3}},
                   0.1),
      MakeScenario("cancels", false, {{50, Fault::kStateOutage, 10, 0}}, 0.03),
      MakeScenario("stale_news", false, {{50, Fault::kCrashLeader, 0, 3}}),
      MakeScenario("old_leader_and_cancels", false,
                   {{50, Fault::kStateRefusesLeader, 120, 0},
                    {50, Fault::kZoneCut, 120, 0}}),
      MakeScenario("old_answers", false, {}, 0.02),
      MakeScenario("machine_deaf", true,
                   {{30, Fault::kMachineDeaf, 200, 0},
                    {35, Fault::kMachineDeaf, 200, 0},
                    {50, Fault::kCrashLeader, 0, 3},
                    {52, Fault::kMachineDeaf, 60, 0}}),
      MakeScenario("late_copies", true,
                   {{50, Fault::kCrashLeader, 0, 0.2},
                    {70, Fault::kSpotWave, 0, 0},
                    {80, Fault::kCrashLeader, 0, 3}}),
      MakeScenario("leader_alone", true, {{50, Fault::kLeaderAlone, 60, 0}},
                   0.01),
      MakeScenario("back_at_once", true,
                   {{40, Fault::kCrashLeader, 0, 0.1},
                    {40.3, Fault::kCrashAll, 0, 0.1},
                    {41, Fault::kMachineBack, 0, 0},
                    {44, Fault::kCrashLeader, 0, 0.1},
                    {44.5, Fault::kCrashOther, 0, 0.1},
                    {45, Fault::kCrashLeader, 0, 0.1},
                    {45.2, Fault::kMachineBack, 0, 0},
                    {60, Fault::kMachineBack, 0, 0}},
                   0.02),
      MakeScenario(
          "state_slow", true,
          {{40, Fault::kStateSlow, 60, 0}, {60, Fault::kCrashLeader, 0, 3}}),
      MakeScenario("siblings_refuse", true,
                   {{30, Fault::kSiblingsRefuse, 60, 0},
                    {40, Fault::kCrashLeader, 0, 3}},
                   0.01),
      MakeScenario("overload", false, {}),
      MakeScenario("leader_stops", true,
                   {{45, Fault::kLeaderStops, 2.5, 0},
                    {60, Fault::kLeaderStops, 3.4, 0},
                    {75, Fault::kLeaderStops, 6, 0},
                    {77, Fault::kCrashLeader, 0, 0.2},
                    {90, Fault::kLeaderStops, 25, 0},
                    {125, Fault::kAllStop, 5, 0}},
                   0.01),
      MakeScenario("stops_in_outages", true,
                   {{45, Fault::kStateOutage, 22, 0},
                    {47, Fault::kLeaderStops, 6, 0},
                    {60, Fault::kLeaderStops, 12, 0},
                    {90, Fault::kCloudOutage, 20, 0},
                    {92, Fault::kLeaderStops, 8, 0}}),
      MakeScenario("silent_for_long", true,
                   {{40, Fault::kLeaderSilent, 70, 0},
                    {55, Fault::kOtherSilent, 70, 0},
                    {70, Fault::kCrashLeader, 0, 0.2}}),
      MakeScenario("cut_in_part", true,
                   {{40, Fault::kOtherAlone, 40, 0},
                    {42, Fault::kLeaderCutFromWorkers, 35, 0},
                    {60, Fault::kCrashLeader, 0, 0.3},
                    {95, Fault::kOtherRefused, 30, 0},
                    {100, Fault::kStateRefusesLeader, 35, 0},
                    {104, Fault::kCrashLeader, 0, 3}},
                   0.01),
      MakeScenario(
          "boots_late", true,
          {{0, Fault::kBootsLate, 60, 0}, {50, Fault::kCrashLeader, 0, 3}}),
      MakeScenario(
          "boots_at_once", true,
          {{0, Fault::kBootsAtOnce, 80, 0}, {40, Fault::kCrashLeader, 0, 0.3}},
          0.01),
      MakeScenario("broken_jobs", true,
                   {{40, Fault::kMachineSick, 0, 0},
                    {55, Fault::kCrashLeader, 0, 3},
                    {70, Fault::kMachineSick, 0, 0}}),
      MakeScenario("poll_storm", true,
                   {{40, Fault::kPollStorm, 40, 0},
                    {50, Fault::kCrashLeader, 0, 3},
                    {60, Fault::kStateSlow, 15, 0}}),
      MakeScenario(
          "guests", true,
          {{45, Fault::kCrashLeader, 0, 3}, {60, Fault::kLeaderStops, 5, 0}}),
      MakeScenario("on_no_list", false,
                   {{5, Fault::kBootsLate, 20, 0},
                    {30, Fault::kLeaderStops, 3.4, 0},
                    {33, Fault::kLeaderSilent, 60, 0},
                    {36, Fault::kOtherAlone, 30, 0},
                    {45, Fault::kPollStorm, 40, 0},
                    {50, Fault::kBootsAtOnce, 40, 0},
                    {52, Fault::kLeaderStops, 7, 0},
                    {53, Fault::kStateOutage, 20, 0},
                    {60, Fault::kCrashAll, 0, 0.3},
                    {80, Fault::kMachineSick, 0, 0},
                    {85, Fault::kLeaderCutFromWorkers, 30, 0},
                    {90, Fault::kMachineDeaf, 40, 0},
                    {95, Fault::kAllStop, 5, 0},
                    {110, Fault::kOtherRefused, 20, 0},
                    {112, Fault::kCrashLeader, 0, 0.1}},
                   0.02),
      MakeScenario("everything", false,
                   {{30, Fault::kMachineCut, 30, 0},
                    {40, Fault::kCrashLeader, 0, 0.5},
                    {50, Fault::kStateRefusesLeader, 20, 0},
                    {60, Fault::kMachineDies, 0, 0},
                    {80, Fault::kCloudOutage, 20, 0},
                    {85, Fault::kStateOutage, 25, 0},
                    {95, Fault::kMachineDeaf, 60, 0},
                    {97, Fault::kLeaderAlone, 40, 0},
                    {100, Fault::kCrashAll, 0, 3},
                    {110, Fault::kStateSlow, 20, 0},
                    {125, Fault::kMachineHangs, 20, 0},
                    {130, Fault::kSpotWave, 0, 0}},
                   0.02),
  };
  all.back().options.report_copy = 0.05;
  for (Scenario& s : all) {
    const std::string name = s.name;
    SimulationOptions& o = s.options;
    if (name == "cancels" || name == "stale_news") o.cancel_share = 0.8;
    if (name == "stale_news") o.watch_delay_s = 4;
    if (name == "old_leader_and_cancels") {
      o.cancel_share = 0.6;
      o.run_factor = 4;
      o.policy.speculation_limit_s = 900;
    }
    if (name == "silent_for_long" || name == "cut_in_part" ||
        name == "poll_storm" || name == "on_no_list")
      o.nodes = 5;
    if (name == "broken_jobs" || name == "on_no_list") o.broken_share = 0.3;
    if (name == "guests" || name == "on_no_list") o.guests = true;
    if (name == "on_no_list" || name == "leader_stops") o.report_copy = 0.05;
    if (name == "old_answers") o.late = 0.3;
    if (name == "late_copies") o.report_copy = 0.1;
    if (name == "machine_deaf" || name == "back_at_once" ||
        name == "state_slow" || name == "leader_alone")
      o.nodes = 5;
    if (name == "overload") {
      o.jobs = 100;
      o.run_factor = 1.7;
      o.duration_s = 500;
      o.policy.speculation_limit_s = 900;
    }
    if (name == "old_answers")
      for (int i = 0; i < 20; ++i)
        o.faults.push_back({30.0 + 4 * i, Fault::kCrashLeader, 0, 0.1});
  }
  all[14].options.boot_fail = 0.2;
  all[13].options.spot_per_hour = 30;
  for (Scenario& s : Meetings()) all.push_back(std::move(s));
  for (Scenario& s : ServicesAndRolls()) all.push_back(std::move(s));
  return all;
}

SimulationOptions WithSpread(SimulationOptions options) {
  SpreadSettings& spread = options.policy.spread;
  spread.placement = spread.moves = true;
  spread.start_imbalance = 0.04;
  spread.stop_imbalance = 0.02;
  spread.min_imbalance_duration_s = 2;
  spread.cooldown_s = 10;
  options.policy.speculation_limit_s = 900;
  options.run_factor = std::max(options.run_factor, 2.5);
  options.checkpoint_share = 0.9;
  options.burst_jobs = 4;
  options.burst_at_s = 30;
  return options;
}

}  // namespace sorrelwood::test
