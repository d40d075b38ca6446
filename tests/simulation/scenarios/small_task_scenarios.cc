// Arrays of thousands of tasks, each a small part of a core: a machine has the
// resources for far more tasks than its worker can report.
#include "simulation/scenarios/scenario.h"

namespace sorrelwood::test {
namespace {

using enum FaultKind;

}  // namespace

std::vector<Scenario> SmallTaskScenarios() {
  constexpr uint64_t kSeeds = 4;
  SimulationOptions options = SmallClusterOptions();
  options.jobs = 8;
  options.small_task_arrays = 4;
  options.check_interval_steps = 50;
  ScenarioTable table(kSeeds, options);
  table.Add("small_tasks",
            "An array never starts, because its start commands do not fit into "
            "a response or its tasks into a report.",
            ExpectedProgress::kAllJobs,
            {
                {.at_s = 35, .kind = kLeaderCrash, .restart_s = 3},
                {.at_s = 45, .kind = kCancelRunningJobs, .count = 2},
                {.at_s = 60, .kind = kLeaderCrash, .restart_s = 3},
            });
  table.last().options.cancel_share = 0.3;
  table.Add(
      "small_tasks_noisy",
      "Starts, stops and results of full reports are lost with single "
      "messages, or while the state service is away.",
      ExpectedProgress::kAllJobs,
      {
          {.at_s = 30, .kind = kLeaderPartitionedFromWorkers, .for_s = 10},
          {.at_s = 50, .kind = kStateServiceOutage, .for_s = 15},
          {.at_s = 80, .kind = kAllControllersCrash, .restart_s = 2},
          {.at_s = 95, .kind = kMachineInboundLoss, .for_s = 30, .count = 2},
      },
      0.02);
  return table.scenarios();
}

}  // namespace sorrelwood::test
