// The injected faults kLeaderRestartWithLateReads and
// kLeaderRestartWithRefusedReads: the leader restarts at once, and jobs are
// polled there and cancelled elsewhere before it has its listing of the jobs.
#pragma once

#include <string>
#include <vector>

#include "simulation/options.h"

namespace sorrelwood::test {

class SimulatedCluster;

class LeaderRestart {
 public:
  explicit LeaderRestart(SimulatedCluster& cluster) : cluster_(cluster) {}

  // `leader`: index of the leader.
  void Begin(const Fault& fault, int leader);

 private:
  void DelayRequests(const Fault& fault, int leader);

  SimulatedCluster& cluster_;
};

}  // namespace sorrelwood::test
