// Exchanges status messages with the other controllers.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/constants.h"
#include "base/periodic_timer.h"
#include "core/controller/node_health.h"
#include "core/coordination/job_cache.h"
#include "core/coordination/leader_election.h"
#include "core/engine/context.h"

namespace sorrelwood {

// The messages tell peers the highest term known, when the state service last
// served the sender, and, from the leader, how far jobs have come, so that each
// node can answer users.
class PeerStatusExchange {
 public:
  // `incarnation`: of this process.
  PeerStatusExchange(Context* context, const ClusterSettings* settings,
                     JobCache* job_cache, LeaderElection* election,
                     NodeHealth* node_health, uint64_t incarnation)
      : context_(context),
        settings_(settings),
        job_cache_(job_cache),
        election_(election),
        node_health_(node_health),
        incarnation_(incarnation) {}

  // Whether a message is to be sent now; the next one is due an interval later.
  bool BroadcastDue() { return timer_.RestartIfDue(context_->now); }
  // Sends a message to all peers. `counts`: of all jobs, from the leader; empty
  // from other nodes.
  void Broadcast(const std::vector<JobCounts>& counts);
  // A message of a peer has come.
  void OnPeerStatus(const PeerStatus& status);

 private:
  // The counts that differ from what was last sent, and now and then all of
  // them, since messages may be lost.
  std::vector<JobCounts> CountsToSend(const std::vector<JobCounts>& counts);

  Context* context_;
  const ClusterSettings* settings_;
  JobCache* job_cache_;
  LeaderElection* election_;
  NodeHealth* node_health_;
  const uint64_t incarnation_;
  PeriodicTimer timer_{kPeerStatusEveryS};
  uint64_t sequence_ = 0;                       // of the latest message
  std::map<std::string, JobCounts> last_sent_;  // by job
};

}  // namespace sorrelwood
