// The controller process: the core on its own thread, the HTTP server, the
// connections to the other controllers, and the threads that send the core's
// requests to the state service, the cloud and the workers.
#pragma once

#include <memory>
#include <vector>

#include "core/controller/controller.h"
#include "http/server.h"
#include "peer/peer_connection.h"
#include "server/cloud_request_workers.h"
#include "server/command_push_workers.h"
#include "server/http_routes.h"
#include "server/input_queue.h"
#include "server/metrics.h"
#include "server/pending_responses.h"
#include "server/state_request_workers.h"

namespace sorrelwood {

class ControllerServer {
 public:
  // `incarnation` differs between processes of the same node.
  ControllerServer(const ClusterSettings& settings,
                   const PolicySettings& policy, uint64_t incarnation);

  // Serves until the process is killed. Returns false if an address can't be
  // listened on.
  bool Run();

 private:
  bool Bind();
  void StartThreads();
  // Runs on the core's thread: passes inputs to the core and executes the
  // resulting actions.
  void RunCore();
  void Dispatch(Actions actions);

  // One overload for each kind of action.
  void Execute(StateTransaction action) {
    state_requests_.Send(std::move(action));
  }
  void Execute(StateGet action) { state_requests_.Send(std::move(action)); }
  void Execute(StateList action) { state_requests_.Send(std::move(action)); }
  void Execute(StateWatch action) { state_requests_.Send(std::move(action)); }
  void Execute(LeaseCreate action) { state_requests_.Send(action); }
  void Execute(LeaseRenew action) { state_requests_.Send(action); }
  // Never requested: the core lets leases expire instead of ending them.
  void Execute(const LeaseEnd&) {}
  void Execute(FetchCatalog action) { cloud_requests_.Send(action); }
  void Execute(ListCloudMachines action) { cloud_requests_.Send(action); }
  void Execute(ProvisionMachines action) {
    cloud_requests_.Send(std::move(action));
  }
  void Execute(ReleaseMachines action) {
    cloud_requests_.Send(std::move(action));
  }
  void Execute(PushedCommands action) {
    command_pushes_.Send(std::move(action));
  }
  void Execute(ClientResponse action);
  void Execute(const HeartbeatResponse& action);
  void Execute(const SendPeerStatus& action);
  void Execute(const LogEvent& event);

  const ClusterSettings settings_;
  Controller controller_;  // used only by the core's thread
  InputQueue inputs_;
  PendingResponses responses_;
  Metrics metrics_;
  HttpRoutes routes_;
  StateRequestWorkers state_requests_;
  CloudRequestWorkers cloud_requests_;
  CommandPushWorkers command_pushes_;
  HttpServer http_server_;
  PeerListener peer_listener_;
  std::vector<std::unique_ptr<PeerSender>> peer_senders_;
};

}  // namespace sorrelwood
