// The core of one controller: a state machine that uses no clock, socket,
// thread or log itself. Each input method takes the current time and returns
// the actions that the caller has to execute.
#pragma once

#include <cstdint>
#include <string>

#include "core/api/job_api.h"
#include "core/controller/catalog_refresher.h"
#include "core/controller/leader_role.h"
#include "core/controller/node_health.h"
#include "core/controller/peer_status_exchange.h"
#include "core/controller/scheduler_statistics.h"
#include "core/coordination/job_cache.h"
#include "core/coordination/leader_election.h"
#include "core/coordination/state_limits.h"
#include "core/engine/context.h"

namespace sorrelwood {

// Owns the components of a controller and passes inputs on to them.
class Controller {
 public:
  // `incarnation` differs between processes of the same node. It also seeds the
  // random number generator.
  Controller(const ClusterSettings& settings, const PolicySettings& policy,
             uint64_t incarnation);

  // When an input was received.
  struct Time {
    double steady = 0;  // monotonic clock (s)
    double wall = 0;    // time of day (s since the epoch)
  };

  // Runs all periodic work that is due. Called every kTickIntervalS.
  Actions Tick(Time time);
  // Requests of users. `request` identifies the request to respond to.
  Actions Submit(Time time, uint64_t request, const JobSpec& spec);
  Actions Poll(Time time, uint64_t request, const std::string& job);
  Actions Cancel(Time time, uint64_t request, const std::string& job);
  // A heartbeat of a worker. Only the leader handles it. Other nodes respond
  // with 421 and the leader's name; a leader that may not renew worker leases
  // responds with 503.
  Actions OnHeartbeat(Time time, uint64_t request, const Heartbeat& heartbeat);
  // Results of actions. Duplicates are ignored.
  Actions Deliver(Time time, const StateResult& result);
  Actions Deliver(Time time, const CloudResult& result);
  Actions Deliver(Time time, const PushResult& result);
  // A status message from another controller.
  Actions OnPeerStatus(Time time, const PeerStatus& status);

  struct Statistics {
    bool leading = false, may_dispatch = false, may_renew_worker_leases = false;
    uint64_t term = 0;  // the highest known term
    SchedulerStatistics scheduler;
  };
  Statistics CollectStatistics() const;
  bool leading() const { return election_.leading(); }
  // See NodeHealth.
  bool IsHealthy() const { return node_health_.IsHealthy(); }
  // How many machines and jobs were examined while handling the last input.
  uint64_t items_examined() const { return context_.items_examined; }
  void set_debug(bool debug) { context_.debug = debug; }

 private:
  // Called before and after the handling of every input.
  void BeginInput(Time time);
  Actions EndInput();
  // Returns the response of a node that may not handle heartbeats.
  HeartbeatResponse MakeHeartbeatRefusal(uint64_t request) const;

  const ClusterSettings settings_;
  Context context_;
  StateLimitTracker limits_;
  JobCache job_cache_;
  LeaderElection election_;
  JobApi job_api_;
  LeaderRole leader_role_;
  NodeHealth node_health_;
  PeerStatusExchange peer_status_;
  CatalogRefresher catalog_;
  bool had_input_ = false;
};

}  // namespace sorrelwood
