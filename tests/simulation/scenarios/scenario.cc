#include "simulation/scenarios/scenario.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sorrelwood::test {
namespace {

void SetFaults(std::vector<Fault> faults, double unreliability,
               SimulationOptions* options) {
  options->faults = std::move(faults);
  options->loss_probability = unreliability;
  options->late_probability = unreliability;
  options->duplicate_probability = unreliability;
}

void Append(std::vector<Scenario> more, std::vector<Scenario>* scenarios) {
  std::move(more.begin(), more.end(), std::back_inserter(*scenarios));
}

}  // namespace

SimulationOptions SmallClusterOptions() {
  SimulationOptions options;
  options.policy.speculation_limit_s = kShortSpeculationS;
  options.policy.wait_limit_s = 20;
  options.policy.predictor_fit_interval_s = 30;
  return options;
}

SimulationOptions OptionsWithFaults(std::vector<Fault> faults,
                                    double unreliability) {
  SimulationOptions options = SmallClusterOptions();
  SetFaults(std::move(faults), unreliability, &options);
  return options;
}

std::vector<Fault> LeaderCrashes(int count, double first_at_s,
                                 double interval_s, double restart_s) {
  std::vector<Fault> faults;
  faults.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i)
    faults.push_back({.at_s = first_at_s + interval_s * i,
                      .kind = FaultKind::kLeaderCrash,
                      .restart_s = restart_s});
  return faults;
}

void ScenarioTable::Add(const char* name, const char* guards_against,
                        ExpectedProgress progress, std::vector<Fault> faults,
                        double unreliability) {
  Scenario& scenario = scenarios_.emplace_back(
      Scenario{name, guards_against, progress, seeds_, options_});
  SetFaults(std::move(faults), unreliability, &scenario.options);
}

std::vector<Scenario> AllScenarios() {
  std::vector<Scenario> scenarios = BasicScenarios();
  Append(CombinedScenarios(), &scenarios);
  Append(ServiceScenarios(), &scenarios);
  Append(SmallTaskScenarios(), &scenarios);
  return scenarios;
}

SimulationOptions WithRebalancing(SimulationOptions options) {
  SpreadSettings& spread = options.policy.spread;
  spread.placement = spread.moves = true;
  spread.start_imbalance = 0.04;
  spread.stop_imbalance = 0.02;
  spread.min_imbalance_duration_s = 2;
  spread.cooldown_s = 10;
  options.policy.speculation_limit_s = 900;
  options.run_time_factor = std::max(options.run_time_factor, 2.5);
  options.checkpoint_share = 0.9;
  options.burst_jobs = 4;
  options.burst_at_s = 30;
  return options;
}

}  // namespace sorrelwood::test
