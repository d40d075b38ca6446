// Delivers requests of controllers to the cloud and its responses back, with
// the delays and losses of the options and the active faults.
#pragma once

#include <cstdint>
#include <functional>

#include "core/engine/actions.h"
#include "simulation/controllers.h"

namespace sorrelwood::test {

class SimulatedCluster;

class CloudNetwork {
 public:
  explicit CloudNetwork(SimulatedCluster& cluster) : cluster_(cluster) {}

  // Sends a request of the controller's current process.
  template <typename Request>
  void Send(int controller, const Request& request) {
    SendCall(controller,
             {request.id, [this, request] { return Serve(request); }});
  }
  // Does not send a request after its `not_after`, like the real cloud client:
  // after a pause another leader may act.
  template <typename Request>
  void SendBeforeDeadline(int controller, const Request& request) {
    if (SteadyClock(controller) > request.not_after)
      ReportTooLate(controller, request.id);
    else
      Send(controller, request);
  }

 private:
  // A request of any kind.
  struct Call {
    uint64_t id = 0;
    std::function<CloudResult()> serve;
  };

  CloudResult Serve(const FetchCatalog& request);
  CloudResult Serve(const ProvisionMachines& request);
  CloudResult Serve(const ReleaseMachines& request);
  CloudResult Serve(const ListCloudMachines& request);

  double SteadyClock(int controller) const;
  void ReportTooLate(int controller, uint64_t request);
  void SendCall(int controller, const Call& call);
  // Serves the call when the partition ends; the client gets a time-out.
  void ServeAfterPartition(ProcessId client, const Call& call);
  void Arrive(ProcessId client, const Call& call, bool lost, bool answer_lost);
  bool InOutage() const;

  SimulatedCluster& cluster_;
};

}  // namespace sorrelwood::test
