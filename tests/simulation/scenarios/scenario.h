// The named scenarios of the simulated cluster, shared by the seeded tests and
// the digest measurement.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "simulation/options.h"

namespace sorrelwood::test {

// How many jobs must have ended by the end of a run.
enum class ExpectedProgress {
  kAllJobs,   // all jobs are done or cancelled
  kSomeJobs,  // more than a quarter are done or cancelled
};

struct Scenario {
  const char* name = "";
  const char* guards_against = "";  // the failure that the run would show
  ExpectedProgress progress = ExpectedProgress::kAllJobs;
  uint64_t seeds = 1;  // the seeded tests run seeds 1 to `seeds`
  SimulationOptions options;
};

// PolicySettings::speculation_limit_s of small clusters (s): short, so that
// most scenarios kill and requeue tasks that exceed it.
inline constexpr double kShortSpeculationS = 15;

// Options with policy times that suit runs of a few minutes.
SimulationOptions SmallClusterOptions();

// SmallClusterOptions with faults. `unreliability` is the probability that a
// message is lost; being late and being duplicated have the same probability.
SimulationOptions OptionsWithFaults(std::vector<Fault> faults,
                                    double unreliability = 0);

// Returns `count` crashes of the leader, one every `interval_s`.
std::vector<Fault> LeaderCrashes(int count, double first_at_s,
                                 double interval_s, double restart_s);

// Collects scenarios that share their base options.
class ScenarioTable {
 public:
  ScenarioTable(uint64_t seeds, SimulationOptions options)
      : seeds_(seeds), options_(std::move(options)) {}

  // `unreliability` as in OptionsWithFaults.
  void Add(const char* name, const char* guards_against,
           ExpectedProgress progress, std::vector<Fault> faults,
           double unreliability = 0);
  // The scenario that was added last, to change its options.
  Scenario& last() { return scenarios_.back(); }

  const std::vector<Scenario>& scenarios() const { return scenarios_; }

 private:
  const uint64_t seeds_;
  const SimulationOptions options_;
  std::vector<Scenario> scenarios_;
};

std::vector<Scenario> BasicScenarios();
std::vector<Scenario> CombinedScenarios();
std::vector<Scenario> ServiceScenarios();
std::vector<Scenario> SmallTaskScenarios();

// All scenarios, in the order of the parameterized tests.
std::vector<Scenario> AllScenarios();

// Enables rebalancing, with thresholds low enough for small clusters to move
// tasks.
SimulationOptions WithRebalancing(SimulationOptions options);

}  // namespace sorrelwood::test
