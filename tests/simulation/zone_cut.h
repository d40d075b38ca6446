// The injected fault kLeaderZoneCutWithGap: a zone partition that also cuts the
// controllers of the leader's zone off from the state service, and that ends
// for a moment, in which the workers of the zone report to the next leader.
#pragma once

#include <string>

#include "simulation/options.h"

namespace sorrelwood::test {

class SimulatedCluster;

class ZoneCut {
 public:
  explicit ZoneCut(SimulatedCluster& cluster) : cluster_(cluster) {}

  // `leader`: index of the leader.
  void Begin(const Fault& fault, int leader);

 private:
  void OpenGap();
  void CloseGap();
  // The controller of another zone that leads; -1: none.
  int FindNextLeader() const;

  SimulatedCluster& cluster_;
  std::string zone_;
  double until_s_ = 0;
};

}  // namespace sorrelwood::test
