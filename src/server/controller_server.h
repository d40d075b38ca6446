// One controller as a process: the core on a thread of its own, and around it
// the HTTP server, the connections to the other controllers, and the workers
// that carry the core's requests to the outside.
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

  // Serves until the process is killed; false when an address can't be had.
  bool Run();

 private:
  bool Bind();
  void StartThreads();
  // The core's thread: takes inputs and dispatches what they lead to.
  void RunCore();
  void Dispatch(Actions actions);

  // One for each action of the core.
  void Execute(StateTransaction action) { state_.Send(std::move(action)); }
  void Execute(StateGet action) { state_.Send(std::move(action)); }
  void Execute(StateList action) { state_.Send(std::move(action)); }
  void Execute(StateWatch action) { state_.Send(std::move(action)); }
  void Execute(LeaseCreate action) { state_.Send(action); }
  void Execute(LeaseRenew action) { state_.Send(action); }
  // The core never ends a lease before its time.
  void Execute(const LeaseEnd&) {}
  void Execute(FetchCatalog action) { cloud_.Send(action); }
  void Execute(ListCloudMachines action) { cloud_.Send(action); }
  void Execute(ProvisionMachines action) { cloud_.Send(std::move(action)); }
  void Execute(ReleaseMachines action) { cloud_.Send(std::move(action)); }
  void Execute(PushedCommands action) { pushes_.Send(std::move(action)); }
  void Execute(ClientResponse action);
  void Execute(const HeartbeatResponse& action);
  void Execute(const SendPeerStatus& action);
  void Execute(const LogEvent& event);

  const ClusterSettings settings_;
  Controller controller_;  // of the core's thread
  InputQueue inputs_;
  PendingResponses responses_;
  Metrics metrics_;
  HttpRoutes routes_;
  StateRequestWorkers state_;
  CloudRequestWorkers cloud_;
  CommandPushWorkers pushes_;
  HttpServer http_server_;
  PeerListener peer_listener_;
  std::vector<std::unique_ptr<PeerSender>> peer_senders_;
};

}  // namespace sorrelwood
