// The core of one controller: a state machine without clock, socket, thread or
// log. Every input brings the time; what is to be done comes back as actions.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/api/job_api.h"
#include "core/controller/scheduler.h"
#include "core/coordination/job_cache.h"
#include "core/coordination/leader_election.h"
#include "core/engine/context.h"

namespace sorrelwood {

class Controller {
 public:
  // `incarnation` differs between processes of the same node; it also seeds the
  // random numbers.
  Controller(const ClusterSettings& settings, const PolicySettings& policy,
             uint64_t incarnation);

  struct Time {
    double steady = 0, wall = 0;
  };

  Actions Tick(Time time);
  Actions Submit(Time time, uint64_t request, const JobSpec& spec);
  Actions Poll(Time time, uint64_t request, const std::string& job);
  Actions Cancel(Time time, uint64_t request, const std::string& job);
  Actions OnHeartbeat(Time time, uint64_t request, const Heartbeat& heartbeat);
  Actions Deliver(Time time, const StateResult& result);
  Actions Deliver(Time time, const CloudResult& result);
  Actions Deliver(Time time, const PushResult& result);
  Actions OnPeerStatus(Time time, const PeerStatus& note);

  struct Statistics {
    bool leading = false, may_dispatch = false, may_renew_worker_leases = false;
    uint64_t term = 0;
    Scheduler::Statistics scheduler;
  };
  Statistics CollectStatistics();
  bool leading() const { return election_.leading(); }
  // False while the state service refuses this node but serves most others:
  // users are better off with them. In an outage nobody is, and all stay.
  bool Healthy() const;
  // Machines and jobs that were looked at for the last input.
  uint64_t work() const { return context_.work; }
  void set_debug(bool debug) { context_.debug = debug; }

 private:
  void Begin(Time time);
  Actions End();
  void ReadCatalog();
  void BroadcastPeerStatus();

  const ClusterSettings settings_;
  Context context_;
  StateLimitTracker limits_;
  JobCache job_cache_;
  LeaderElection election_;
  JobApi job_api_;
  Scheduler scheduler_;
  uint64_t incarnation_;
  bool began_ = false;  // an input has come

  bool catalog_known_ = false, reading_catalog_ = false;
  double next_catalog_ = 0, next_peer_status_ = 0;
  uint64_t peer_status_sequence_ = 0;
  std::map<std::string, JobCounts> sent_counts_;
  // When the state service last served each peer, by its notes.
  std::map<std::string, double> peer_served_at_;
};

}  // namespace sorrelwood
