// Delivers heartbeats of workers to controllers and the responses back, with
// the delays, losses and duplicates of the options and the active faults.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/engine/actions.h"

namespace sorrelwood::test {

class SimulatedCluster;
struct Worker;

class Heartbeats {
 public:
  explicit Heartbeats(SimulatedCluster& cluster) : cluster_(cluster) {}

  void Send(Worker& worker);
  void SendResponse(const HeartbeatResponse& response);
  // Delivers to all controllers the copies that were kept for the next leader.
  void ReplayToAllControllers();

 private:
  // A heartbeat without a response so far.
  struct Pending {
    std::string worker;
    int controller = 0;
    uint64_t incarnation = 0;
    double sent_at_s = 0;
  };

  // Delivers to the controller's process at that time; counts the heartbeat.
  void Deliver(int controller, uint64_t request, const Heartbeat& heartbeat);
  void ScheduleDeliveries(const Worker& worker, uint64_t request,
                          const Heartbeat& heartbeat);
  void ReceiveResponse(const HeartbeatResponse& response);
  // Makes the worker try another controller, because this one does not lead.
  void FollowRedirect(Worker& worker, const Pending& heartbeat,
                      const HeartbeatResponse& response);

  SimulatedCluster& cluster_;
  std::map<uint64_t, Pending> pending_;  // by request
  std::vector<std::pair<uint64_t, Heartbeat>> kept_for_next_leader_;
};

}  // namespace sorrelwood::test
