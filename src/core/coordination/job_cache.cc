#include "core/coordination/job_cache.h"

#include <algorithm>
#include <unordered_set>
#include <vector>

#include "base/constants/user_requests.h"
#include "core/coordination/keys.h"
#include "protocol/stored_records_codec.h"

namespace sorrelwood {
namespace {

constexpr double kLoadRetryS = 0.3;   // pause after a failed listing
constexpr double kWatchRetryS = 0.2;  // pause after a failed watch

}  // namespace

void JobCache::Tick() {
  if (request_in_flight_ || context_->now < retry_at_) return;
  if (!loaded_)
    LoadListing();
  else if (context_->now >= next_watch_at_)
    SendWatch();
}

void JobCache::LoadListing() {
  request_in_flight_ = true;
  const double sent_at = context_->now;
  context_->ListKeys(
      keys::kLivePrefix, [this, sent_at](const StateResult& result) {
        if (result.outcome != Outcome::kOk) {
          request_in_flight_ = false;
          retry_at_ = context_->now + kLoadRetryS;
          return;
        }
        ApplyListing(result);
        // A watch from the listing's revision reports every later change. The
        // leader key lies outside the listing and is read after it, so a change
        // of it is not missed either.
        const uint64_t revision = result.revision;
        context_->GetKey(
            StateConnection::kLeader, keys::kLeader,
            [this, sent_at, revision](const StateResult& leader_result) {
              request_in_flight_ = false;
              if (leader_result.outcome == Outcome::kOk &&
                  !leader_result.items.empty()) {
                const KeyValue& item = leader_result.items[0];
                if (const auto leader = protocol::ParseLeaderRecord(item.value))
                  leader_key_.Apply(item.version, *leader, item.version);
              } else if (leader_result.outcome == Outcome::kConflict) {
                // The leader key is absent.
                leader_key_.ApplyAbsence(revision);
              } else {
                retry_at_ = context_->now + kLoadRetryS;
                return;
              }
              revision_ = revision;
              loaded_ = true;
              synced_at_ = std::max(synced_at_, sent_at);
              SendWatch();
            });
      });
}

void JobCache::SendWatch() {
  request_in_flight_ = true;
  const double sent_at = context_->now;
  next_watch_at_ = sent_at + min_watch_interval_s_;
  context_->WatchKeys(
      keys::kWatchedPrefix, revision_,
      [this, sent_at](const StateResult& result) {
        request_in_flight_ = false;
        if (result.outcome != Outcome::kOk) {
          retry_at_ = context_->now + kWatchRetryS;
          return;
        }
        if (result.too_old) {
          loaded_ = false;
          return;
        }
        for (const KeyValue& change : result.items) ApplyChange(change);
        revision_ = std::max(revision_, result.revision);
        complete_revision_ = std::max(complete_revision_, revision_);
        synced_at_ = std::max(synced_at_, sent_at);
        if (!request_in_flight_ && context_->now >= next_watch_at_) SendWatch();
      });
}

void JobCache::ApplyChange(const KeyValue& change) {
  if (change.key == keys::kLeader) {
    if (change.removed)
      leader_key_.ApplyAbsence(change.version);
    else if (const auto leader = protocol::ParseLeaderRecord(change.value))
      leader_key_.Apply(change.version, *leader, change.version);
    return;
  }
  if (const std::string id = keys::StripPrefix(change.key, keys::kLivePrefix);
      !id.empty()) {
    // A removal is ignored: the transaction that removes a live key also writes
    // the final key, whose change ends the job here.
    if (!change.removed) ApplyLiveJob(id, change.version, change.value);
    return;
  }
  if (const std::string id = keys::StripPrefix(change.key, keys::kFinalPrefix);
      !id.empty() && !change.removed) {
    if (const auto state = protocol::ParseFinalState(change.value))
      ApplyFinalState(id, *state);
  }
}

CachedJob* JobCache::FindLiveJob(const std::string& id) {
  auto found = live_jobs_.find(id);
  return found == live_jobs_.end() ? nullptr : &found->second;
}

std::optional<FinalState> JobCache::FindFinalState(
    const std::string& id) const {
  auto found = final_states_.find(id);
  if (found == final_states_.end()) return std::nullopt;
  return found->second;
}

bool JobCache::HasEnded(const std::string& id, uint64_t version) const {
  if (final_states_.count(id)) return true;
  return version <= complete_revision_ && !live_jobs_.count(id);
}

LiveRecordResult JobCache::ApplyLiveJob(const std::string& id, uint64_t version,
                                        const std::string& value) {
  if (HasEnded(id, version)) return IgnoreOutdatedRecord(id, version);
  auto cached = live_jobs_.find(id);
  if (cached != live_jobs_.end() && cached->second.version >= version)
    return LiveRecordResult::kLive;
  auto job = protocol::ParseLiveJob(value);
  if (!job || job->spec.id != id) {
    context_->Error("job record could not be parsed", {{"job", id}});
    return LiveRecordResult::kUnreadable;
  }
  return ApplyLiveJob(id, version, std::make_shared<LiveJob>(std::move(*job)));
}

LiveRecordResult JobCache::ApplyLiveJob(const std::string& id, uint64_t version,
                                        std::shared_ptr<const LiveJob> job) {
  if (HasEnded(id, version)) return IgnoreOutdatedRecord(id, version);
  CachedJob& cached = live_jobs_[id];
  if (cached.version >= version) return LiveRecordResult::kLive;
  cached.version = version;
  cached.job = std::move(job);
  cached.counts.id = id;
  if (on_job_added) on_job_added(id);
  return LiveRecordResult::kLive;
}

LiveRecordResult JobCache::IgnoreOutdatedRecord(const std::string& id,
                                                uint64_t version) const {
  if (context_->debug)
    context_->Debug("outdated job record ignored",
                    {{"job", id},
                     {"version", version},
                     {"complete_revision", complete_revision_}});
  return LiveRecordResult::kEnded;
}

void JobCache::ApplyFinalState(const std::string& id, FinalState state) {
  if (!final_states_.emplace(id, state).second) return;
  final_states_in_order_.push_back(id);
  if (final_states_in_order_.size() > kFinalStateCacheJobs) {
    final_states_.erase(final_states_in_order_.front());
    final_states_in_order_.pop_front();
  }
  live_jobs_.erase(id);
  if (on_job_ended) on_job_ended(id);
}

void JobCache::ApplyListing(const StateResult& listing) {
  std::unordered_set<std::string> listed_jobs;
  for (const KeyValue& item : listing.items) {
    const std::string id = keys::StripPrefix(item.key, keys::kLivePrefix);
    ApplyLiveJob(id, item.version, item.value);
    listed_jobs.insert(id);
  }
  std::vector<std::string> ended_jobs;
  for (const auto& [id, cached] : live_jobs_)
    if (cached.version <= listing.revision && !listed_jobs.count(id))
      ended_jobs.push_back(id);
  for (const std::string& id : ended_jobs) {
    live_jobs_.erase(id);
    if (on_job_ended) on_job_ended(id);
  }
  complete_revision_ = std::max(complete_revision_, listing.revision);
}

}  // namespace sorrelwood
