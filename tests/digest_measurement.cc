// Plays seeded runs of the simulated cluster and prints, for each, a digest of
// everything that its cores asked for, and their log lines by level with a
// digest of the texts. tests/compare_digests.sh compares two commits by it: a
// mechanical change leaves all but the texts as they were. No part of the
// tests, since the values may differ between processors.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <cinttypes>
#include <cstdio>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "simulation/fnv_hash.h"
#include "simulation/scenarios/scenario.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

constexpr uint64_t kSeedsPerScenario = 2;
constexpr uint64_t kSeedsWithRebalancing = 1;

// What of load spread is on beside the usual runs of each scenario.
enum class Spread { kPlacement, kPlacementAndMoves };

struct DigestRun {
  std::string scenario;
  SimulationOptions options;
};

struct DigestResult {
  uint64_t actions = 0;
  LogSummary::Counts lines;
  uint64_t log_text = 0;
  size_t violations = 0;
};

// Scenarios that the seeded tests leave out, or play in tests of their own.
std::vector<std::pair<std::string, SimulationOptions>> OtherScenarios() {
  SimulationOptions operator_defaults;
  operator_defaults.jobs = 40;
  operator_defaults.failing_job_share = 0.2;
  operator_defaults.faults = {
      {.at_s = 60, .kind = FaultKind::kLeaderCrash, .restart_s = 3},
      {.at_s = 80, .kind = FaultKind::kMachineFailsTasks}};

  SimulationOptions eager = operator_defaults;
  eager.policy.speculation_limit_s = 4;
  eager.policy.wait_limit_s = 5;
  eager.policy.idle_release_delay_s = 2;
  eager.policy.backlog_limit_s = 5;
  eager.policy.predictor_fit_interval_s = 20;

  SimulationOptions on_demand_only = operator_defaults;
  on_demand_only.policy.use_spot = false;

  SimulationOptions limits_fall = operator_defaults;
  limits_fall.controllers = 5;
  limits_fall.rolling_upgrade_at_s = 15;
  limits_fall.state_limits_drop_at_s = 50;
  limits_fall.long_array = true;
  limits_fall.enforce_write_rate = true;

  SimulationOptions idle;
  idle.jobs = 6;
  idle.submit_until_s = 20;
  idle.duration_s = 500;

  SimulationOptions fleet;
  fleet.large_fleet = true;
  fleet.fleet_scale = 0.2;
  fleet.jobs = 24;
  fleet.submit_until_s = 60;
  fleet.duration_s = 200;
  fleet.check_interval_steps = 100000;
  fleet.faults = {
      {.at_s = 60, .kind = FaultKind::kMassMachineLoss, .for_s = 40},
      {.at_s = 75, .kind = FaultKind::kAllControllersCrash, .restart_s = 4},
      {.at_s = 110, .kind = FaultKind::kZonePartition, .for_s = 30},
      {.at_s = 150, .kind = FaultKind::kLeaderCrash, .restart_s = 0.3}};

  return {{"operator_defaults", operator_defaults},
          {"eager_policy", eager},
          {"on_demand_only", on_demand_only},
          {"limits_fall", limits_fall},
          {"idle", idle},
          {"fleet", fleet}};
}

void AddSeeds(const std::string& name, SimulationOptions options,
              uint64_t seeds, std::vector<DigestRun>* runs) {
  options.debug_log = true;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    options.seed = seed;
    runs->push_back({name, options});
  }
}

void AddRebalancingRun(const std::string& name, const SimulationOptions& usual,
                       Spread spread, std::vector<DigestRun>* runs) {
  SimulationOptions options = WithRebalancing(usual);
  options.policy.spread.moves = spread == Spread::kPlacementAndMoves;
  AddSeeds(name + (options.policy.spread.moves ? "+moves" : "+placement"),
           std::move(options), kSeedsWithRebalancing, runs);
}

// Moves depend on the order of addresses in memory
// (ImbalanceMeter::MachineGroup), so that runs with them don't repeat
// themselves; they are played only on request.
std::vector<DigestRun> AllRuns(bool with_moves) {
  std::vector<std::pair<std::string, SimulationOptions>> scenarios =
      OtherScenarios();
  for (const Scenario& scenario : AllScenarios())
    scenarios.emplace_back(scenario.name, scenario.options);
  std::vector<DigestRun> runs;
  for (const auto& [name, options] : scenarios) {
    AddSeeds(name, options, kSeedsPerScenario, &runs);
    AddRebalancingRun(name, options, Spread::kPlacement, &runs);
    if (with_moves)
      AddRebalancingRun(name, options, Spread::kPlacementAndMoves, &runs);
  }
  return runs;
}

DigestResult Play(const DigestRun& run) {
  SimulatedCluster cluster(run.options);
  cluster.Run();
  DigestResult result;
  result.actions = cluster.digest();
  result.lines = cluster.log_summary().counts();
  result.log_text = cluster.log_summary().text_digest();
  result.violations = cluster.violations().size();
  return result;
}

// The results stand in the order of the runs, whichever ends first.
std::vector<DigestResult> PlayAll(const std::vector<DigestRun>& runs,
                                  unsigned threads) {
  std::vector<DigestResult> results(runs.size());
  std::atomic<size_t> next = 0;
  const auto play_some = [&] {
    for (size_t i = next++; i < runs.size(); i = next++)
      results[i] = Play(runs[i]);
  };
  std::vector<std::jthread> players;
  for (unsigned i = 0; i < threads; ++i) players.emplace_back(play_some);
  players.clear();  // waits for them
  return results;
}

void Print(const DigestRun& run, const DigestResult& result) {
  std::printf("%s %" PRIu64 " actions=%016" PRIx64 " log_levels=%" PRIu64
              "/%" PRIu64 "/%" PRIu64 " log_text=%016" PRIx64 "\n",
              run.scenario.c_str(), run.options.seed, result.actions,
              result.lines.debug, result.lines.info, result.lines.error,
              result.log_text);
  if (result.violations > 0)
    std::fprintf(stderr, "%s %" PRIu64 ": %zu invariants violated\n",
                 run.scenario.c_str(), run.options.seed, result.violations);
}

void PrintTotal(const std::vector<DigestResult>& results) {
  FnvHash actions, levels;
  for (const DigestResult& result : results) {
    actions.Add(&result.actions, sizeof(result.actions));
    for (const uint64_t count :
         {result.lines.debug, result.lines.info, result.lines.error})
      levels.Add(&count, sizeof(count));
  }
  std::printf("all %zu runs actions=%016" PRIx64 " log_levels=%016" PRIx64 "\n",
              results.size(), actions.value(), levels.value());
}

}  // namespace
}  // namespace sorrelwood::test

int main(int argc, char** argv) {
  namespace test = sorrelwood::test;
  unsigned threads = std::max(1U, std::thread::hardware_concurrency());
  CLI::App app("Digests of the actions and log lines of seeded runs");
  app.add_option("--jobs", threads, "Runs played at the same time")
      ->check(CLI::PositiveNumber);
  bool with_moves = false;
  app.add_flag("--moves", with_moves,
               "Also plays runs in which load spread moves tasks");
  CLI11_PARSE(app, argc, argv);

  const std::vector<test::DigestRun> runs = test::AllRuns(with_moves);
  const std::vector<test::DigestResult> results = test::PlayAll(runs, threads);
  for (size_t i = 0; i < runs.size(); ++i) test::Print(runs[i], results[i]);
  test::PrintTotal(results);
  return 0;
}
