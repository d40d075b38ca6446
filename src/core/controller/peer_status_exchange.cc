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
  if (sequence_ % kMessagesPerFullPeerStatus == 0) last_sent_.clear();
  const std::string resume_after = std::exchange(resume_after_, "");
  const auto first = std::upper_bound(
      counts.begin(), counts.end(), resume_after,
      [](const std::string& id, const JobCounts& job) { return id < job.id; });
  std::vector<JobCounts> to_send;
  std::map<std::string, JobCounts> sent;
  size_t bytes = 0;
  const auto visit = [&](const JobCounts& job) {
    const auto previous = last_sent_.find(job.id);
    const bool was_sent = previous != last_sent_.end();
    const bool changed = !was_sent || !HasSameProgress(previous->second, job);
    const size_t job_bytes = job.id.size() + kPeerCountsOverheadBytes;
    const bool is_full = bytes + job_bytes > kMaxPeerCountsBytes;
    if (changed && !is_full) {
      bytes += job_bytes;
      to_send.push_back(job);
      sent[job.id] = job;
      return;
    }
    if (changed && resume_after_.empty() && !to_send.empty())
      resume_after_ = to_send.back().id;
    if (was_sent) sent[job.id] = previous->second;
  };
  std::for_each(first, counts.end(), visit);
  std::for_each(counts.begin(), first, visit);
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
