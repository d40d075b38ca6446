// The named scenarios of the simulated cluster, shared by the seeded tests and
// the measurement of digests.
#pragma once

#include <cstdint>
#include <vector>

#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {

struct Scenario {
  const char* name;
  SimulationOptions options;
  bool all_done;  // every job that was not cancelled is done by the end
  uint64_t seeds = 24;
};

// A scenario of the usual options with these faults. `noise` is the chance per
// message that it is lost, late or repeated.
Scenario MakeScenario(const char* name, bool all_done,
                      std::vector<SimulationOptions::Fault> faults,
                      double noise = 0);

// All of them; their order is that of the parameterized tests.
std::vector<Scenario> Scenarios();

// Any scenario with load spread on, and so eager that small clusters move.
SimulationOptions WithSpread(SimulationOptions options);

}  // namespace sorrelwood::test
