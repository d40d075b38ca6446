// The named scenarios of the simulated cluster, shared by the seeded tests and
// the measurement of digests.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "simulation/options.h"

namespace sorrelwood::test {

// What has happened to the jobs by the end of a run.
enum class ExpectedProgress {
  kAllJobs,   // every job that was not cancelled is done
  kSomeJobs,  // over a quarter is done or cancelled
};

struct Scenario {
  const char* name = "";
  const char* guards_against = "";  // the failure that the scenario would show
  ExpectedProgress progress = ExpectedProgress::kAllJobs;
  uint64_t seeds = 1;  // the seeded tests play 1 to `seeds`
  SimulationOptions options;
};

// The time after which a task counts as slow in a small cluster (s): short, so
// that speculation is part of most scenarios.
inline constexpr double kShortSpeculationS = 15;

// A policy whose times suit runs of some minutes.
SimulationOptions SmallClusterOptions();

// These with faults. `unreliability` is the probability for each message to be
// lost, and as well to be late and to be repeated.
SimulationOptions OptionsWithFaults(std::vector<Fault> faults,
                                    double unreliability = 0);

// Crashes of the leader, one every `interval_s`.
std::vector<Fault> LeaderCrashes(int count, double first_at_s,
                                 double interval_s, double restart_s);

// Collects scenarios that have options in common.
class ScenarioTable {
 public:
  ScenarioTable(uint64_t seeds, SimulationOptions options)
      : seeds_(seeds), options_(std::move(options)) {}

  // `unreliability` is as above.
  void Add(const char* name, const char* guards_against,
           ExpectedProgress progress, std::vector<Fault> faults,
           double unreliability = 0);
  // The scenario that was added last, to set options of it alone.
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

// All of them; their order is that of the parameterized tests.
std::vector<Scenario> AllScenarios();

// Any options with rebalancing on, and so eager that small clusters move tasks.
SimulationOptions WithRebalancing(SimulationOptions options);

}  // namespace sorrelwood::test
