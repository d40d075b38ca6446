// The core of one controller: a state machine without clock, socket, thread or
// log. Each input brings the time; what is to be done is returned as actions.
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

// Joins the parts of a controller and passes inputs on to them.
class Controller {
 public:
  // `incarnation` differs between processes of the same node; it also seeds the
  // random numbers.
  Controller(const ClusterSettings& settings, const PolicySettings& policy,
             uint64_t incarnation);

  // When an input came.
  struct Time {
    double steady = 0;  // of a clock that never goes back (s)
    double wall = 0;    // time of day (s since the epoch)
  };

  // Does what is due; called every kTickS.
  Actions Tick(Time time);
  // Requests of users. `request` names the connection to answer.
  Actions Submit(Time time, uint64_t request, const JobSpec& spec);
  Actions Poll(Time time, uint64_t request, const std::string& job);
  Actions Cancel(Time time, uint64_t request, const std::string& job);
  // A heartbeat of a worker: answered by the leader alone. Other nodes answer
  // 421 and name the leader; a leader that may not renew leases answers 503.
  Actions OnHeartbeat(Time time, uint64_t request, const Heartbeat& heartbeat);
  // Results of actions. A result that was delivered before is ignored.
  Actions Deliver(Time time, const StateResult& result);
  Actions Deliver(Time time, const CloudResult& result);
  Actions Deliver(Time time, const PushResult& result);
  // A status message of another controller.
  Actions OnPeerStatus(Time time, const PeerStatus& status);

  struct Statistics {
    bool leading = false, may_dispatch = false, may_renew_worker_leases = false;
    uint64_t term = 0;  // the highest known
    SchedulerStatistics scheduler;
  };
  Statistics CollectStatistics() const;
  bool leading() const { return election_.leading(); }
  // See NodeHealth.
  bool Healthy() const { return node_health_.Healthy(); }
  // How many machines and jobs were examined for the last input.
  uint64_t work() const { return context_.items_examined; }
  void set_debug(bool debug) { context_.debug = debug; }

 private:
  // Every input is handled between these two.
  void BeginInput(Time time);
  Actions EndInput();
  // The response of a node that may not answer as the leader.
  HeartbeatResponse RefuseHeartbeat(uint64_t request) const;

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
