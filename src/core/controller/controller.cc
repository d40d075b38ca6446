#include "core/controller/controller.h"

#include <algorithm>
#include <utility>

#include "base/constants.h"

namespace sorrelwood {

Controller::Controller(const ClusterSettings& settings,
                       const PolicySettings& policy, uint64_t incarnation)
    : settings_(settings),
      context_(incarnation),
      limits_(settings_),
      job_cache_(&context_, static_cast<double>(settings_.peers.size() + 1) /
                                (settings_.state_requests_per_s * kWatchShare)),
      election_(&context_, &job_cache_, settings_.node,
                settings_.worker_lease_s, settings_.cancel_deadline_s),
      job_api_(&context_, &job_cache_, &limits_, &settings_),
      scheduler_(&context_, &job_cache_, &election_, &settings_, &limits_,
                 policy, incarnation),
      incarnation_(incarnation) {
  job_cache_.on_job_live = [this](const std::string& id) {
    scheduler_.OnJobLive(id);
  };
  job_cache_.on_job_ended = [this](const std::string& id, FinalState state) {
    scheduler_.OnJobEnded(id, state);
  };
  election_.on_leadership_acquired = [this] {
    scheduler_.OnLeadershipAcquired();
  };
  election_.on_leadership_lost = [this] { scheduler_.OnLeadershipLost(); };
}

void Controller::Begin(Time time) {
  // Only a gap between two inputs tells of it: the clock goes on meanwhile.
  const double gap_s = time.steady - context_.now;
  context_.now = time.steady;
  context_.wall = time.wall;
  context_.work = 0;
  if (began_ && gap_s > kProcessPauseThresholdS) {
    context_.Info("process was paused", {{"seconds", gap_s}});
    scheduler_.OnProcessPause(gap_s);
  }
  began_ = true;
}

Actions Controller::End() { return std::exchange(context_.out, {}); }

Actions Controller::Tick(Time time) {
  Begin(time);
  job_cache_.Tick();
  election_.Tick();
  job_api_.Tick();
  scheduler_.Tick();
  if (!reading_catalog_ && context_.now >= next_catalog_) ReadCatalog();
  if (context_.now >= next_peer_status_) BroadcastPeerStatus();
  return End();
}

Actions Controller::Submit(Time time, uint64_t request, const JobSpec& spec) {
  Begin(time);
  job_api_.Submit(request, spec);
  return End();
}

Actions Controller::Poll(Time time, uint64_t request, const std::string& job) {
  Begin(time);
  job_api_.Poll(request, job);
  return End();
}

Actions Controller::Cancel(Time time, uint64_t request,
                           const std::string& job) {
  Begin(time);
  job_api_.Cancel(request, job);
  return End();
}

Actions Controller::OnHeartbeat(Time time, uint64_t request,
                                const Heartbeat& heartbeat) {
  Begin(time);
  election_.ObserveTerm(heartbeat.fencing_token);
  if (election_.MayRenewWorkerLeases()) {
    scheduler_.OnHeartbeat(request, heartbeat);
    return End();
  }
  HeartbeatResponse answer;
  answer.request = request;
  answer.status = election_.leading() ? 503 : 421;
  if (!election_.leading() && job_cache_.leader_known() &&
      job_cache_.leader_version() != 0 &&
      job_cache_.leader().node != settings_.node)
    answer.redirect = job_cache_.leader().node;
  context_.out.push_back(std::move(answer));
  return End();
}

Actions Controller::Deliver(Time time, const StateResult& result) {
  Begin(time);
  limits_.Learn(result);
  context_.Deliver(result);
  return End();
}

Actions Controller::Deliver(Time time, const CloudResult& result) {
  Begin(time);
  context_.Deliver(result);
  return End();
}

Actions Controller::Deliver(Time time, const PushResult& result) {
  Begin(time);
  context_.Deliver(result);
  return End();
}

Actions Controller::OnPeerStatus(Time time, const PeerStatus& note) {
  Begin(time);
  election_.ObserveTerm(note.term);
  peer_served_at_[note.node] = context_.now - note.served_ago_ms / 1000.0;
  if (note.leader && note.term >= election_.highest_term()) {
    for (const JobCounts& counts : note.jobs)
      if (CachedJob* known = job_cache_.FindLive(counts.id))
        known->counts = counts;
  }
  return End();
}

bool Controller::Healthy() const {
  const double since = context_.unserved_since();
  if (since == 0) return true;
  // Only what was served after that tells an outage from what ails us alone.
  const auto served = std::count_if(
      peer_served_at_.begin(), peer_served_at_.end(),
      [&](const auto& item) { return item.second > since + kShutOutS; });
  return static_cast<size_t>(served) * 2 < settings_.peers.size() + 1;
}

void Controller::ReadCatalog() {
  reading_catalog_ = true;
  context_.Catalog([this](const CloudResult& result) {
    reading_catalog_ = false;
    if (result.outcome != Outcome::kOk) {
      next_catalog_ = context_.now + (catalog_known_ ? kCatalogIntervalS : 1);
      return;
    }
    catalog_known_ = true;
    next_catalog_ = context_.now + kCatalogIntervalS;
    job_api_.UpdateCatalog(result.types);
    scheduler_.UpdateCatalog(result.types);
  });
}

void Controller::BroadcastPeerStatus() {
  next_peer_status_ = context_.now + 1;
  PeerStatus note;
  note.node = settings_.node;
  note.incarnation = incarnation_;
  note.sequence = ++peer_status_sequence_;
  note.term = election_.highest_term();
  note.leader = election_.leading();
  note.served_ago_ms = static_cast<uint32_t>(
      std::min(1e6, (context_.now - context_.served_at()) * 1000));
  std::map<std::string, JobCounts> counts;
  for (JobCounts& job : scheduler_.Counts()) {
    if (CachedJob* known = job_cache_.FindLive(job.id)) known->counts = job;
    // Only what has changed, and now and then all: a note may be lost.
    auto told = sent_counts_.find(job.id);
    if (told == sent_counts_.end() || told->second.done != job.done ||
        told->second.running != job.running || peer_status_sequence_ % 10 == 0)
      note.jobs.push_back(job);
    counts[job.id] = job;
  }
  sent_counts_ = std::move(counts);
  context_.out.push_back(SendPeerStatus{std::move(note)});
}

Controller::Statistics Controller::CollectStatistics() {
  Statistics statistics;
  statistics.leading = election_.leading();
  statistics.may_dispatch = election_.MayDispatch();
  statistics.may_renew_worker_leases = election_.MayRenewWorkerLeases();
  statistics.term = election_.highest_term();
  statistics.scheduler = scheduler_.CollectStatistics();
  return statistics;
}

}  // namespace sorrelwood
