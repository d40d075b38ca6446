// Routes the actions of controllers to the simulated state service, cloud,
// workers, clients and peers.
#pragma once

#include "core/engine/actions.h"
#include "simulation/controllers.h"

namespace sorrelwood::test {

class SimulatedCluster;

class ActionDispatcher {
 public:
  explicit ActionDispatcher(SimulatedCluster& cluster) : cluster_(cluster) {}

  // `controller` is the index of the controller that returned the action.
  void Perform(int controller, const Action& action);

 private:
  void Perform(int controller, const StateTransaction& transaction);
  void Perform(int controller, const StateGet& get);
  void Perform(int controller, const StateList& list);
  void Perform(int controller, const StateWatch& watch);
  void Perform(int controller, const LeaseCreate& create);
  void Perform(int controller, const LeaseRenew& renew);
  void Perform(int, const LeaseEnd&) {}  // leases end only by expiry
  void Perform(int controller, const FetchCatalog& fetch);
  void Perform(int controller, const ProvisionMachines& provision);
  void Perform(int controller, const ReleaseMachines& release);
  void Perform(int controller, const ListCloudMachines& list);
  void Perform(int controller, const PushedCommands& push);
  void Perform(int controller, const ClientResponse& response);
  void Perform(int controller, const HeartbeatResponse& response);
  void Perform(int controller, const SendPeerStatus& status);
  void Perform(int, const LogEvent&) {}  // LogSummary covers these

  // Handles pushed commands on their machine; `answer`: sends a result back.
  void ArriveAtWorker(ProcessId sender, const PushedCommands& push,
                      bool answer);
  bool ArePeersConnected(int sender, int receiver) const;

  SimulatedCluster& cluster_;
};

}  // namespace sorrelwood::test
