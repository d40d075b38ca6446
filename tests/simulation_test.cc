// Tests seeded runs of the simulated cluster, which checks each invariant
// (simulation/invariants/) after every step.
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string>
#include <vector>

#include "simulation/scenarios/scenario.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

std::optional<uint64_t> ReadEnvironmentNumber(const char* name) {
  const char* text = std::getenv(name);
  if (!text) return std::nullopt;
  return std::strtoull(text, nullptr, 10);
}

// Returns the seeds to run; a run takes about 30 ms. SORRELWOOD_SEEDS sets the
// number of seeds per scenario, SORRELWOOD_SEED selects a single seed.
std::vector<uint64_t> SelectSeeds(uint64_t default_count) {
  if (const auto only = ReadEnvironmentNumber("SORRELWOOD_SEED"))
    return {*only};
  std::vector<uint64_t> seeds;
  const uint64_t count =
      ReadEnvironmentNumber("SORRELWOOD_SEEDS").value_or(default_count);
  for (uint64_t seed = 1; seed <= count; ++seed) seeds.push_back(seed);
  return seeds;
}

// Describes a run in the output of a failure: scenario, seed and the command to
// repeat it.
std::string DescribeRun(const std::string& scenario, uint64_t seed,
                        const std::string& guards_against) {
  const ::testing::TestInfo& test =
      *::testing::UnitTest::GetInstance()->current_test_info();
  return "scenario " + scenario + ", seed " + std::to_string(seed) +
         "\nguards against: " + guards_against +
         "\nrepeat with: " + "SORRELWOOD_SEED=" + std::to_string(seed) +
         " target/test/sorrelwood_tests --gtest_filter='" +
         test.test_suite_name() + "." + test.name() + "'";
}

// Describes a run of a test that sets its own options.
std::string DescribeRun(const SimulationOptions& options) {
  const ::testing::TestInfo& test =
      *::testing::UnitTest::GetInstance()->current_test_info();
  return std::string("options of ") + test.test_suite_name() + "." +
         test.name() + ", seed " + std::to_string(options.seed) +
         "\nrepeat with: target/test/sorrelwood_tests --gtest_filter='" +
         test.test_suite_name() + "." + test.name() + "'";
}

std::string JoinLines(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) text += line + "\n";
  return text;
}

int CountSubmittedJobs(const SimulationOptions& options) {
  constexpr int kBestEffortJobs = 61;
  constexpr double kSingleTaskJobsDurationS = 120;
  return options.jobs + options.small_task_arrays +
         (options.best_effort_team ? kBestEffortJobs : 0) +
         static_cast<int>(options.single_task_jobs_per_s *
                          kSingleTaskJobsDurationS) +
         options.services + (options.long_array ? 1 : 0);
}

std::string GetScenarioName(const ::testing::TestParamInfo<int>& test) {
  return AllScenarios()[static_cast<size_t>(test.param)].name;
}

class FaultScenarios : public ::testing::TestWithParam<int> {};

TEST_P(FaultScenarios, KeepEveryInvariant) {
  const Scenario scenario = AllScenarios()[static_cast<size_t>(GetParam())];
  for (const uint64_t seed : SelectSeeds(scenario.seeds)) {
    SCOPED_TRACE(DescribeRun(scenario.name, seed, scenario.guards_against));
    SimulationOptions options = scenario.options;
    options.seed = seed;
    SimulatedCluster cluster(options);
    cluster.Run();
    EXPECT_TRUE(cluster.violations().empty())
        << JoinLines(cluster.violations());
    const SimulationStatistics& statistics = cluster.statistics();
    EXPECT_GT(statistics.tasks_started, 20);
    const int jobs = CountSubmittedJobs(options);
    EXPECT_EQ(statistics.jobs_accepted, jobs);
    EXPECT_LE(statistics.healthy_machines_released, 1);
    const int ended = statistics.jobs_done + statistics.jobs_cancelled;
    if (scenario.progress == ExpectedProgress::kAllJobs)
      EXPECT_EQ(ended + cluster.clients().ServicesLeft(), jobs)
          << cluster.clients().DescribeUnfinished();
    else
      EXPECT_GT(ended, jobs / 4);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Seeded, FaultScenarios,
    ::testing::Range(0, static_cast<int>(AllScenarios().size())),
    GetScenarioName);

// Runs the same faults while the rebalancer moves running tasks.
class FaultScenariosWithRebalancing : public ::testing::TestWithParam<int> {};

TEST_P(FaultScenariosWithRebalancing, KeepEveryInvariant) {
  const Scenario scenario = AllScenarios()[static_cast<size_t>(GetParam())];
  uint64_t moves = 0;
  for (const uint64_t seed : SelectSeeds(4)) {
    SCOPED_TRACE(DescribeRun(scenario.name, seed, scenario.guards_against));
    SimulationOptions options = WithRebalancing(scenario.options);
    options.seed = seed;
    SimulatedCluster cluster(options);
    cluster.Run();
    EXPECT_TRUE(cluster.violations().empty())
        << JoinLines(cluster.violations());
    EXPECT_GT(cluster.statistics().tasks_started, 20);
    moves += cluster.statistics().moves_begun;
  }
  std::printf("moves begun: %llu\n", static_cast<unsigned long long>(moves));
}

INSTANTIATE_TEST_SUITE_P(
    Seeded, FaultScenariosWithRebalancing,
    ::testing::Range(0, static_cast<int>(AllScenarios().size())),
    GetScenarioName);

// A failure can be diagnosed only if its seed repeats the run.
TEST(SimulatedCluster, RepeatsARunFromItsSeed) {
  const SimulationOptions options = OptionsWithFaults(
      {{.at_s = 50, .kind = FaultKind::kLeaderCrash, .restart_s = 3}}, 0.02);
  SCOPED_TRACE(DescribeRun(options));
  SimulatedCluster first(options), second(options);
  first.Run();
  second.Run();
  EXPECT_EQ(first.statistics().tasks_started,
            second.statistics().tasks_started);
  EXPECT_EQ(first.statistics().takeovers, second.statistics().takeovers);
  EXPECT_EQ(first.digest(), second.digest());
}

// Guards against a service whose replicas exit everywhere: it must not use up
// the leader's work, nor have its machines released as faulty.
TEST(CrashLoopingService, IsRestartedAtAFallingRate) {
  SimulationOptions options = OptionsWithFaults({});
  options.services = 3;
  options.crash_looping_service = true;
  options.duration_s = 400;
  SCOPED_TRACE(DescribeRun(options));
  SimulatedCluster cluster(options);
  cluster.Run();
  EXPECT_TRUE(cluster.violations().empty()) << JoinLines(cluster.violations());
  EXPECT_GT(cluster.statistics().crash_loop_starts, 5);
  EXPECT_LT(cluster.statistics().crash_loop_starts, 120);
  EXPECT_EQ(cluster.statistics().healthy_machines_released, 0);
}

// Guards against progress that can no longer be stored because one of its
// values exceeds the lowered limit.
TEST(StateServiceLimits, ProgressIsSplitWhenTheyDrop) {
  SimulationOptions options = OptionsWithFaults({});
  options.controllers = 5;
  options.rolling_upgrade_at_s = 15;
  options.state_limits_drop_at_s = 50;
  options.long_array = true;
  options.enforce_write_rate = true;
  SCOPED_TRACE(DescribeRun(options));
  SimulatedCluster cluster(options);
  cluster.Run();
  EXPECT_TRUE(cluster.violations().empty()) << JoinLines(cluster.violations());
  EXPECT_GT(cluster.statistics().refused_for_size, 0);
  EXPECT_LT(cluster.statistics().refused_for_size, 10);
  EXPECT_TRUE(cluster.state_service().HasSplitProgress());
}

// Prints a digest of all actions over several seeded runs. A change that keeps
// behaviour does not change it.
TEST(SimulatedCluster, PrintsADigestOfAllActions) {
  uint64_t total_digest = 0;
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    SimulationOptions options = OptionsWithFaults(
        {{.at_s = 40, .kind = FaultKind::kMachinePartition, .for_s = 40},
         {.at_s = 50, .kind = FaultKind::kLeaderCrash, .restart_s = 3},
         {.at_s = 70, .kind = FaultKind::kSpotPreemptionWave},
         {.at_s = 80, .kind = FaultKind::kStateServiceOutage, .for_s = 15}},
        0.02);
    options.seed = seed;
    SCOPED_TRACE(DescribeRun(options));
    SimulatedCluster cluster(options);
    cluster.Run();
    EXPECT_NE(cluster.digest(), ActionDigest().value());
    total_digest = total_digest * 31 + cluster.digest();
  }
  std::printf("digest of all actions: %016llx\n",
              static_cast<unsigned long long>(total_digest));
}

// Guards against clients routed to a controller that can't serve them, and
// against all controllers reporting unhealthy in an outage: a controller is
// unhealthy only while the state service refuses this controller alone.
TEST(ControllerHealth, IsLostOnlyWhenTheStateServiceRefusesOneController) {
  const auto unhealthy_ticks = [](FaultKind kind) {
    SimulationOptions options =
        OptionsWithFaults({{.at_s = 50, .kind = kind, .for_s = 20}});
    options.controllers = 5;
    SimulatedCluster cluster(options);
    cluster.Run();
    return cluster.statistics().unhealthy_ticks;
  };
  EXPECT_GT(unhealthy_ticks(FaultKind::kStateServiceRefusesLeader), 50);
  EXPECT_EQ(unhealthy_ticks(FaultKind::kStateServiceOutage), 0);
  // Messages of its peers may arrive again shortly before the state service
  // answers.
  EXPECT_LE(unhealthy_ticks(FaultKind::kLeaderWithoutStateAndPeers), 5);
  EXPECT_EQ(unhealthy_ticks(FaultKind::kStateServiceSlow), 0);
}

// Guards against faults that only large fleets show: a mass loss of machines, a
// crash of all controllers, then repeated restarts.
TEST(LargeFleet, KeepsEveryInvariantThroughMassLossAndRestarts) {
  SimulationOptions options;
  options.large_fleet = true;
  options.controllers = 5;
  options.jobs = 120;
  options.submit_until_s = 100;
  options.duration_s = 260;
  options.check_interval_steps = 5000;
  options.faults = {
      {.at_s = 60, .kind = FaultKind::kMassMachineLoss, .for_s = 40},
      {.at_s = 75, .kind = FaultKind::kAllControllersCrash, .restart_s = 4},
      {.at_s = 110, .kind = FaultKind::kZonePartition, .for_s = 30}};
  for (const Fault& crash : LeaderCrashes(5, 150, 8, 0.3))
    options.faults.push_back(crash);
  SCOPED_TRACE(DescribeRun(options));
  SimulatedCluster cluster(options);
  cluster.Run();
  EXPECT_TRUE(cluster.violations().empty()) << JoinLines(cluster.violations());
  EXPECT_GT(cluster.cloud().machines_provisioned(), 1200);
  EXPECT_GT(cluster.statistics().tasks_started, 20000);
  EXPECT_EQ(cluster.statistics().jobs_accepted, options.jobs);
}

// Guards against lost work on 4,500 machines in failovers, and in a partition
// of zones that ends within the leases.
TEST(LargeFleet, Of4500MachinesFinishesAllJobs) {
  SimulationOptions options;
  options.large_fleet = true;
  options.fleet_scale = 3;
  options.controllers = 3;
  options.jobs = 130;
  options.run_time_factor = 3;
  options.cancel_share = 0;
  options.submit_until_s = 40;
  options.duration_s = 420;
  options.check_interval_steps = 50000;
  options.policy.speculation_limit_s = 900;
  options.faults = {
      {.at_s = 70, .kind = FaultKind::kLeaderCrash, .restart_s = 3},
      {.at_s = 90, .kind = FaultKind::kZonePartition, .for_s = 15},
      {.at_s = 120, .kind = FaultKind::kLeaderCrash, .restart_s = 0.3}};
  SCOPED_TRACE(DescribeRun(options));
  SimulatedCluster cluster(options);
  cluster.Run();
  EXPECT_TRUE(cluster.violations().empty()) << JoinLines(cluster.violations());
  EXPECT_GT(cluster.cloud().machines_provisioned(), 4000);
  EXPECT_EQ(cluster.statistics().jobs_done, options.jobs)
      << cluster.clients().DescribeUnfinished();
}

// Guards against paying for idle machines.
TEST(Autoscaling, ReleasesIdleMachines) {
  SimulationOptions options;
  options.jobs = 6;
  options.submit_until_s = 20;
  options.duration_s = 500;
  SCOPED_TRACE(DescribeRun(options));
  SimulatedCluster cluster(options);
  cluster.Run();
  EXPECT_EQ(
      cluster.statistics().jobs_done + cluster.statistics().jobs_cancelled, 6);
  // Only the baseline remains, which has shrunk with the load.
  EXPECT_LE(cluster.workers().remaining(), 2u);
}

}  // namespace
}  // namespace sorrelwood::test
