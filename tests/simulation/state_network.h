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
    SendCall(controller, {request.id, KindOf(request),
                          [this, request] { return Serve(request); }});
  }
  void Watch(int controller, const StateWatch& watch);

  // Ends the leases that have expired; called at every step.
  void ExpireLeases();

 private:
  enum class CallKind {
    kTransaction,
    kJobListing,
    kJobRead,    // of a live key
    kFinalRead,  // of a final key
    kOther,
  };
  // A request of any kind.
  struct Call {
    uint64_t id = 0;
    CallKind kind = CallKind::kOther;
    std::function<StateResult()> serve;
  };
  struct Watcher {
    ProcessId process;
    StateWatch watch;
  };

  template <typename Request>
  static CallKind KindOf(const Request&) {
    return CallKind::kOther;
  }
  static CallKind KindOf(const StateTransaction&) {
    return CallKind::kTransaction;
  }
  static CallKind KindOf(const StateList& request);
  static CallKind KindOf(const StateGet& request);

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
  // How much later than usual the call is carried out (s).
  double ExecutionDelay(int controller, const Call& call);
  // How much later than usual the answer arrives (s).
  double AnswerDelay(int controller, const Call& call) const;
  // Draws the latency (s) of a request.
  double DrawLatency();
  // Whether the service refuses the controller's requests, or this one.
  bool Refuses(int controller) const;
  bool RefusesCall(int controller, const Call& call) const;
  void TimeOutWatch(const Watcher& watcher);
  // Answers the watches that have changes.
  void AnswerWatchers();

  SimulatedCluster& cluster_;
  std::vector<Watcher> watchers_;
};

}  // namespace sorrelwood::test
