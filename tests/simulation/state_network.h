// Delivers requests of controllers to the state service and its responses back,
// with the delays, losses and duplicates of the options and the active faults.
#pragma once

#include <cstdint>
#include <functional>
#include <type_traits>
#include <vector>

#include "core/engine/actions.h"
#include "simulation/controllers.h"

namespace sorrelwood::test {

class SimulatedCluster;

class StateNetwork {
 public:
  explicit StateNetwork(SimulatedCluster& cluster) : cluster_(cluster) {}

  // Sends a request of the controller's current process.
  template <typename Request>
  void Send(int controller, const Request& request) {
    SendCall(controller, {request.id, std::is_same_v<Request, StateTransaction>,
                          [this, request] { return Serve(request); }});
  }
  void Watch(int controller, const StateWatch& watch);

  // Ends the leases that have expired; called at every step.
  void ExpireLeases();

 private:
  // A request of any kind.
  struct Call {
    uint64_t id = 0;
    bool is_transaction = false;
    std::function<StateResult()> serve;
  };
  struct Watcher {
    ProcessId process;
    StateWatch watch;
  };

  StateResult Serve(const StateTransaction& request);
  StateResult Serve(const StateGet& request);
  StateResult Serve(const StateList& request);
  StateResult Serve(const LeaseCreate& request);
  StateResult Serve(const LeaseRenew& request);

  void SendCall(int controller, const Call& call);
  // Serves the call at `at_s`; the client gets a time-out.
  void ServeAfterTimeout(ProcessId client, const Call& call, double at_s);
  void ServeUnlessRefused(int controller, const Call& call);
  void Arrive(ProcessId client, const Call& call, bool lost, bool answer_lost);
  // Draws the latency (s) of a request.
  double DrawLatency();
  // Whether the service refuses the controller's requests.
  bool Refuses(int controller) const;
  void TimeOutWatch(const Watcher& watcher);
  // Answers the watches that have changes.
  void AnswerWatchers();

  SimulatedCluster& cluster_;
  std::vector<Watcher> watchers_;
};

}  // namespace sorrelwood::test
