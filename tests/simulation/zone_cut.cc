#include "simulation/zone_cut.h"

#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

// Long enough for a heartbeat and its response, too short for the next
// heartbeat, which shows the new token (s).
constexpr double kGapS = 0.3;

}  // namespace

void ZoneCut::Begin(const Fault& fault, int leader) {
  if (leader < 0) return;
  zone_ = cluster_.controllers().process(leader).zone;
  until_s_ = cluster_.now() + fault.for_s;
  CloseGap();
  for (int i = 0; i < cluster_.controllers().size(); ++i) {
    ControllerProcess& process = cluster_.controllers().process(i);
    if (process.zone == zone_) process.state_refused_until_s = until_s_;
  }
  cluster_.events().After(fault.gap_after_s, [this] { OpenGap(); });
}

void ZoneCut::OpenGap() {
  const int next_leader = FindNextLeader();
  if (next_leader < 0) return;
  cluster_.faults().zone_partition_until_s = cluster_.now();
  cluster_.events().After(kGapS, [this] { CloseGap(); });
  // The workers have tried the controllers in turn, and this one is next.
  for (const auto& [name, worker] : cluster_.workers().all()) {
    if (!worker->up || worker->zone != zone_) continue;
    worker->controller = next_leader;
    worker->awaits_response = false;
    worker->next_heartbeat_s = cluster_.now();
  }
}

void ZoneCut::CloseGap() {
  cluster_.faults().zone_partition_until_s = until_s_;
}

int ZoneCut::FindNextLeader() const {
  for (int i = 0; i < cluster_.controllers().size(); ++i) {
    const ControllerProcess& process = cluster_.controllers().process(i);
    if (process.up && process.zone != zone_ && process.controller->leading())
      return i;
  }
  return -1;
}

}  // namespace sorrelwood::test
