// Exchanges status messages with the other controllers.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/constants/peers.h"
#include "base/periodic_timer.h"
#include "core/controller/node_health.h"
#include "core/coordination/job_cache.h"
#include "core/coordination/leader_election.h"
#include "core/engine/context.h"

namespace sorrelwood {

// Each message contains the highest known term and when the state service last
// served the sender. The leader's messages also contain the progress of jobs,
// so that every node can answer users.
class PeerStatusExchange {
 public:
  // `incarnation` identifies this process of the node.
  PeerStatusExchange(Context* context, const ClusterSettings* settings,
                     JobCache* job_cache, LeaderElection* election,
                     NodeHealth* node_health, uint64_t incarnation)
      : context_(context),
        settings_(settings),
        job_cache_(job_cache),
        election_(election),
        node_health_(node_health),
        incarnation_(incarnation) {}

  // Returns whether a broadcast is due. If so, the next one is due
  // kPeerStatusIntervalS later.
  bool BroadcastDue() { return timer_.RestartIfDue(context_->now); }
  // Sends a message to all peers, and stores `counts` in this node's job cache.
  // `counts` are those of all jobs on the leader, and empty on other nodes.
  void Broadcast(const std::vector<JobCounts>& counts);
  // Called with each message from a peer.
  void OnPeerStatus(const PeerStatus& status);

 private:
  // Returns the counts that have changed since they were last sent, as many as
  // fit into a message; the others follow with the next ones. From every
  // kMessagesPerFullPeerStatus-th message on all are sent again, since messages
  // may be lost.
  std::vector<JobCounts> CountsToSend(const std::vector<JobCounts>& counts);

  Context* context_;
  const ClusterSettings* settings_;
  JobCache* job_cache_;
  LeaderElection* election_;
  NodeHealth* node_health_;
  const uint64_t incarnation_;
  PeriodicTimer timer_{kPeerStatusIntervalS};
  uint64_t sequence_ = 0;                       // of the latest message
  std::map<std::string, JobCounts> last_sent_;  // by job id
  // The last job in a message that was full; empty: no message was. The next
  // message begins behind it.
  std::string resume_after_;
};

}  // namespace sorrelwood
