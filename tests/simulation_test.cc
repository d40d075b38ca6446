// Seeded days in the simulated world: after every step each rule is checked.
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>

#include "simulation/scenarios.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

// A day takes some 30 ms. SORRELWOOD_SEEDS asks for a longer search.
uint64_t Seeds(uint64_t usual) {
  const char* asked = std::getenv("SORRELWOOD_SEEDS");
  return asked ? std::strtoull(asked, nullptr, 10) : usual;
}

using Fault = SimulationOptions::Fault;

std::string Join(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) text += line + "\n";
  return text;
}

class Days : public ::testing::TestWithParam<int> {};

TEST_P(Days, KeepTheRules) {
  const Scenario scenario = Scenarios()[static_cast<size_t>(GetParam())];
  for (uint64_t seed = 1; seed <= Seeds(scenario.seeds); ++seed) {
    SCOPED_TRACE(std::string(scenario.name) + " seed " + std::to_string(seed));
    SimulationOptions options = scenario.options;
    options.seed = seed;
    SimulatedCluster cluster(options);
    cluster.Run();
    EXPECT_TRUE(cluster.violations().empty()) << Join(cluster.violations());
    EXPECT_GT(cluster.tasks_started(), 20);
    const int jobs = options.jobs + (options.guests ? 61 : 0) +
                     static_cast<int>(options.singles_per_s * 120) +
                     options.services + (options.long_array ? 1 : 0);
    EXPECT_EQ(cluster.jobs_accepted(), jobs);
    EXPECT_LE(cluster.wrongly_returned(), 1);
    if (scenario.all_done)
      EXPECT_EQ(cluster.jobs_done() + cluster.jobs_cancelled() +
                    cluster.services_left(),
                jobs)
          << cluster.Unfinished();
    else
      EXPECT_GT(cluster.jobs_done() + cluster.jobs_cancelled(), jobs / 4);
  }
}

INSTANTIATE_TEST_SUITE_P(
    World, Days, ::testing::Range(0, static_cast<int>(Scenarios().size())),
    [](const auto& test) {
      return std::string(Scenarios()[static_cast<size_t>(test.param)].name);
    });

// The same troubles with moves under way: the rules are checked at each step.
class SpreadDays : public ::testing::TestWithParam<int> {};

TEST_P(SpreadDays, KeepTheRules) {
  const Scenario scenario = Scenarios()[static_cast<size_t>(GetParam())];
  uint64_t moves = 0;
  const uint64_t seeds = Seeds(4);
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    SCOPED_TRACE(std::string(scenario.name) + " seed " + std::to_string(seed));
    SimulationOptions options = WithSpread(scenario.options);
    options.seed = seed;
    SimulatedCluster cluster(options);
    cluster.Run();
    EXPECT_TRUE(cluster.violations().empty()) << Join(cluster.violations());
    EXPECT_GT(cluster.tasks_started(), 20);
    moves += cluster.moves_begun();
  }
  std::printf("moves begun: %llu\n", static_cast<unsigned long long>(moves));
}

INSTANTIATE_TEST_SUITE_P(
    World, SpreadDays,
    ::testing::Range(0, static_cast<int>(Scenarios().size())),
    [](const auto& test) {
      return std::string(Scenarios()[static_cast<size_t>(test.param)].name);
    });

TEST(Day, RepeatsItselfForASeed) {
  const SimulationOptions options =
      MakeScenario("", true, {{50, Fault::kCrashLeader, 0, 3}}, 0.02).options;
  SimulatedCluster first(options), second(options);
  first.Run();
  second.Run();
  EXPECT_EQ(first.tasks_started(), second.tasks_started());
  EXPECT_EQ(first.takeovers(), second.takeovers());
  EXPECT_EQ(first.digest(), second.digest());
}

// A service that ends everywhere is tried at a falling rate, and its machines
// are not held to be at fault.
TEST(Day, AServiceThatEndsAtOnceDoesNotSpin) {
  SimulationOptions options = MakeScenario("", true, {}).options;
  options.services = 3;
  options.spinning_service = true;
  options.duration_s = 400;
  SimulatedCluster cluster(options);
  cluster.Run();
  EXPECT_TRUE(cluster.violations().empty()) << Join(cluster.violations());
  EXPECT_GT(cluster.spins(), 5);
  EXPECT_LT(cluster.spins(), 120);
  EXPECT_EQ(cluster.wrongly_returned(), 0);
}

// The limits fall while an array's progress outgrows the smaller ones.
TEST(Day, FallingLimitsAreFollowed) {
  SimulationOptions options = MakeScenario("", true, {}).options;
  options.nodes = 5;
  options.roll_at_s = 15;
  options.limits_fall_at_s = 50;
  options.long_array = true;
  options.rate_limits = true;
  SimulatedCluster cluster(options);
  cluster.Run();
  EXPECT_TRUE(cluster.violations().empty()) << Join(cluster.violations());
  EXPECT_GT(cluster.refused_for_size(), 0);
  EXPECT_LT(cluster.refused_for_size(), 10);
  EXPECT_TRUE(cluster.SomeProgressInParts());
}

// Prints a digest of all actions over several seeded runs. A change that is
// meant to keep behaviour leaves it as it was: compare before and after.
TEST(Day, PrintsADigestOfAllActions) {
  uint64_t all = 0;
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    SimulationOptions options = MakeScenario("", true,
                                             {{40, Fault::kMachineCut, 40, 0},
                                              {50, Fault::kCrashLeader, 0, 3},
                                              {70, Fault::kSpotWave, 0, 0},
                                              {80, Fault::kStateOutage, 15, 0}},
                                             0.02)
                                    .options;
    options.seed = seed;
    SimulatedCluster cluster(options);
    cluster.Run();
    EXPECT_NE(cluster.digest(), ActionDigest().value());
    all = all * 31 + cluster.digest();
  }
  std::printf("digest of all actions: %016llx\n",
              static_cast<unsigned long long>(all));
}

// A node that the state service alone refuses sends users to the others; in an
// outage, and when it can't tell, it stays.
TEST(Day, OnlyARefusedNodeIsLeftOut) {
  const auto unhealthy = [](Fault::Kind kind) {
    SimulationOptions options =
        MakeScenario("", true, {{50, kind, 20, 0}}).options;
    options.nodes = 5;
    SimulatedCluster cluster(options);
    cluster.Run();
    return cluster.unhealthy_ticks();
  };
  EXPECT_GT(unhealthy(Fault::kStateRefusesLeader), 50);
  EXPECT_EQ(unhealthy(Fault::kStateOutage), 0);
  // Its peers' notes may be back a moment before the state service is.
  EXPECT_LE(unhealthy(Fault::kLeaderAlone), 5);
  EXPECT_EQ(unhealthy(Fault::kStateSlow), 0);
}

// A fleet through a mass loss, all controllers down, and a roll of restarts.
TEST(Day, AFleetKeepsTheRules) {
  SimulationOptions options;
  options.fleet = true;
  options.nodes = 5;
  options.jobs = 120;
  options.submit_until_s = 100;
  options.duration_s = 260;
  options.check_every = 5000;
  options.faults = {{60, Fault::kMassLoss, 40, 0},
                    {75, Fault::kCrashAll, 0, 4},
                    {110, Fault::kZoneCut, 30, 0}};
  for (int i = 0; i < 5; ++i)
    options.faults.push_back({150.0 + 8 * i, Fault::kCrashLeader, 0, 0.3});
  SimulatedCluster cluster(options);
  cluster.Run();
  EXPECT_TRUE(cluster.violations().empty()) << Join(cluster.violations());
  EXPECT_GT(cluster.machines_rented(), 1200);
  EXPECT_GT(cluster.tasks_started(), 20000);
  EXPECT_EQ(cluster.jobs_accepted(), options.jobs);
}

// 4,500 machines through a takeover and the silence of two zones, which come
// back within their leases; then all that was asked for is done.
TEST(Day, AFleetOf4500MachinesKeepsTheRules) {
  SimulationOptions options;
  options.fleet = true;
  options.fleet_scale = 3;
  options.nodes = 3;
  options.jobs = 130;
  options.run_factor = 3;
  options.cancel_share = 0;
  options.submit_until_s = 40;
  options.duration_s = 420;
  options.check_every = 50000;
  options.policy.speculation_limit_s = 900;
  options.faults = {{70, Fault::kCrashLeader, 0, 3},
                    {90, Fault::kZoneCut, 15, 0},
                    {120, Fault::kCrashLeader, 0, 0.3}};
  SimulatedCluster cluster(options);
  cluster.Run();
  EXPECT_TRUE(cluster.violations().empty()) << Join(cluster.violations());
  EXPECT_GT(cluster.machines_rented(), 4000);
  EXPECT_EQ(cluster.jobs_done(), options.jobs) << cluster.Unfinished();
}

TEST(Day, IdleMachinesAreReturned) {
  SimulationOptions options;
  options.jobs = 6;
  options.submit_until_s = 20;
  options.duration_s = 500;
  SimulatedCluster cluster(options);
  cluster.Run();
  EXPECT_EQ(cluster.jobs_done() + cluster.jobs_cancelled(), 6);
  // What is left is the base, which has shrunk with the load.
  EXPECT_LE(cluster.machines_left(), 2u);
}

}  // namespace
}  // namespace sorrelwood::test
