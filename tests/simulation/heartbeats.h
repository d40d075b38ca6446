// Carries heartbeats of workers to controllers and the responses back: late,
// lost, twice or not at all, as the options and the active faults say.
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
  // Delivers the copies that were kept for the next leader to all controllers.
  void ReplayToAllControllers();

 private:
  // A heartbeat that was sent and not answered yet.
  struct Pending {
    std::string worker;
    int controller = 0;
    uint64_t incarnation = 0;
    double sent_at_s = 0;
  };

  // To the process that the controller has then; counted as a heartbeat.
  void Deliver(int controller, uint64_t request, const Heartbeat& heartbeat);
  void ScheduleDeliveries(const Worker& worker, uint64_t request,
                          const Heartbeat& heartbeat);
  void ReceiveResponse(const HeartbeatResponse& response);
  // The controller does not lead: the worker turns to another.
  void FollowRedirect(Worker& worker, const Pending& heartbeat,
                      const HeartbeatResponse& response);

  SimulatedCluster& cluster_;
  std::map<uint64_t, Pending> pending_;  // by request
  std::vector<std::pair<uint64_t, Heartbeat>> kept_for_next_leader_;
};

}  // namespace sorrelwood::test
