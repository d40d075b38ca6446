// Executes seeded runs of the simulated cluster and prints for each a digest of
// all actions of its cores, the number of log lines by level, and a digest of
// the log texts. tests/compare_digests.sh compares two commits with it: a
// mechanical change may change only the digest of the texts. Not part of the
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

// Features of load spread that are enabled in a scenario's additional runs.
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

// Scenarios that the seeded tests do not run, or run in separate tests.
std::vector<std::pair<std::string, SimulationOptions>> MakeOtherScenarios() {
  SimulationOptions operator_defaults;
  operator_defaults.jobs = 40;
  operator_defaults.failing_job_share = 0.2;
  operator_defaults.faults = {
      {.at_s = 60, .kind = FaultKind::kLeaderCrash, .restart_s = 3},
      {.at_s = 80, .kind = FaultKind::kMachineFailsTasks}};

  SimulationOptions eager_policy = operator_defaults;
  eager_policy.policy.speculation_limit_s = 4;
  eager_policy.policy.wait_limit_s = 5;
  eager_policy.policy.idle_release_delay_s = 2;
  eager_policy.policy.backlog_limit_s = 5;
  eager_policy.policy.predictor_fit_interval_s = 20;

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
          {"eager_policy", eager_policy},
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

void AddRebalancingRun(const std::string& name, const SimulationOptions& base,
                       Spread spread, std::vector<DigestRun>* runs) {
  SimulationOptions options = WithRebalancing(base);
  options.policy.spread.moves = spread == Spread::kPlacementAndMoves;
  AddSeeds(name + (options.policy.spread.moves ? "+moves" : "+placement"),
           std::move(options), kSeedsWithRebalancing, runs);
}

// Moves depend on the order of addresses in memory
// (ImbalanceMeter::MachineGroup), so that runs with moves are not
// deterministic; they are executed only on request.
std::vector<DigestRun> MakeRuns(bool with_moves) {
  std::vector<std::pair<std::string, SimulationOptions>> scenarios =
      MakeOtherScenarios();
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

DigestResult ExecuteRun(const DigestRun& run) {
  SimulatedCluster cluster(run.options);
  cluster.Run();
  DigestResult result;
  result.actions = cluster.digest();
  result.lines = cluster.log_summary().counts();
  result.log_text = cluster.log_summary().text_digest();
  result.violations = cluster.violations().size();
  return result;
}

// Returns the results in the order of the runs.
std::vector<DigestResult> ExecuteRuns(const std::vector<DigestRun>& runs,
                                      unsigned threads) {
  std::vector<DigestResult> results(runs.size());
  std::atomic<size_t> next = 0;
  const auto execute_runs = [&] {
    for (size_t i = next++; i < runs.size(); i = next++)
      results[i] = ExecuteRun(runs[i]);
  };
  std::vector<std::jthread> workers;
  for (unsigned i = 0; i < threads; ++i) workers.emplace_back(execute_runs);
  workers.clear();  // joins the threads
  return results;
}

void PrintResult(const DigestRun& run, const DigestResult& result) {
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
  app.add_option("--jobs", threads, "Number of runs executed in parallel")
      ->check(CLI::PositiveNumber);
  bool with_moves = false;
  app.add_flag("--moves", with_moves,
               "Also execute runs in which load spread moves tasks");
  CLI11_PARSE(app, argc, argv);

  const std::vector<test::DigestRun> runs = test::MakeRuns(with_moves);
  const std::vector<test::DigestResult> results =
      test::ExecuteRuns(runs, threads);
  for (size_t i = 0; i < runs.size(); ++i)
    test::PrintResult(runs[i], results[i]);
  test::PrintTotal(results);
  return 0;
}
