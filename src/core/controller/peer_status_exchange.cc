#include "core/controller/peer_status_exchange.h"

#include <algorithm>
#include <utility>

namespace sorrelwood {
namespace {

constexpr double kMillisecondsPerSecond = 1000.0;

bool HasSameProgress(const JobCounts& a, const JobCounts& b) {
  return a.done == b.done && a.running == b.running;
}

}  // namespace

void PeerStatusExchange::Broadcast(const std::vector<JobCounts>& counts) {
  PeerStatus status;
  status.node = settings_->node;
  status.incarnation = incarnation_;
  status.sequence = ++sequence_;
  status.term = election_->highest_term();
  status.leader = election_->leading();
  const double served_ago_ms =
      (context_->now - context_->state_served_at()) * kMillisecondsPerSecond;
  status.state_served_ago_ms =
      static_cast<uint32_t>(std::min(kMaxServedAgoMs, served_ago_ms));
  for (const JobCounts& job : counts)
    if (CachedJob* cached = job_cache_->FindLiveJob(job.id))
      cached->counts = job;
  status.jobs = CountsToSend(counts);
  context_->actions.push_back(SendPeerStatus{std::move(status)});
}

std::vector<JobCounts> PeerStatusExchange::CountsToSend(
    const std::vector<JobCounts>& counts) {
  const bool send_all = sequence_ % kMessagesPerFullPeerStatus == 0;
  std::vector<JobCounts> to_send;
  std::map<std::string, JobCounts> sent;
  for (const JobCounts& job : counts) {
    const auto previous = last_sent_.find(job.id);
    if (send_all || previous == last_sent_.end() ||
        !HasSameProgress(previous->second, job))
      to_send.push_back(job);
    sent[job.id] = job;
  }
  last_sent_ = std::move(sent);
  return to_send;
}

void PeerStatusExchange::OnPeerStatus(const PeerStatus& status) {
  election_->ObserveTerm(status.term);
  node_health_->ObservePeer(
      status.node,
      context_->now - status.state_served_ago_ms / kMillisecondsPerSecond);
  // Ignores the counts of a leader that has been replaced.
  if (!status.leader || status.term < election_->highest_term()) return;
  for (const JobCounts& counts : status.jobs)
    if (CachedJob* cached = job_cache_->FindLiveJob(counts.id))
      cached->counts = counts;
}

}  // namespace sorrelwood
