// Carries requests of controllers to the state service and its answers back:
// late, lost, twice or not at all, as the options and the active faults say.
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

  // Sends a request of the controller's present process.
  template <typename Request>
  void Send(int controller, const Request& request) {
    SendCall(controller, {request.id, std::is_same_v<Request, StateTransaction>,
                          [this, request] { return Serve(request); }});
  }
  void Watch(int controller, const StateWatch& watch);

  // Ends the leases that have run out, as often as time passes.
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
  // The call arrives after the client has given up, but it is carried out.
  void ServeAfterTimeout(ProcessId client, const Call& call, double at_s);
  void ServeUnlessRefused(int controller, const Call& call);
  void Arrive(ProcessId client, const Call& call, bool lost, bool answer_lost);
  // Draws the time (s) that a request takes.
  double DrawLatency();
  // Whether the service refuses the controller's requests.
  bool Refuses(int controller) const;
  void TimeOutWatch(const Watcher& watcher);
  // Answers the watches for which there are changes.
  void AnswerWatchers();

  SimulatedCluster& cluster_;
  std::vector<Watcher> watchers_;
};

}  // namespace sorrelwood::test
