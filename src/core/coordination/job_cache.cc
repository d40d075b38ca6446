#include "core/coordination/job_cache.h"

#include <algorithm>

#include "base/constants.h"
#include "core/coordination/keys.h"
#include "protocol/stored_records_codec.h"

namespace sorrelwood {

void JobCache::Tick() {
  if (busy_ || context_->now < retry_at_) return;
  if (!loaded_)
    Load();
  else if (context_->now >= next_watch_)
    Watch();
}

void JobCache::Load() {
  busy_ = true;
  const double sent = context_->now;
  context_->ListKeys(keys::kLive, [this, sent](const StateResult& result) {
    if (result.outcome != Outcome::kOk) {
      busy_ = false;
      retry_at_ = context_->now + 0.3;
      return;
    }
    ApplyListing(result);
    // Watching from the listing's revision brings everything later, the
    // leader key included once it is read after it.
    const uint64_t revision = result.revision;
    context_->GetKey(
        StateConnection::kLeader, keys::kLeader,
        [this, sent, revision](const StateResult& got) {
          busy_ = false;
          if (got.outcome == Outcome::kOk && !got.items.empty()) {
            const KeyValue& item = got.items[0];
            if (const auto leader = protocol::ParseLeaderRecord(item.value))
              ApplyLeader(item.version, *leader, item.version);
          } else if (got.outcome == Outcome::kConflict) {
            ApplyLeader(0, LeaderRecord(), revision);
          } else {
            retry_at_ = context_->now + 0.3;
            return;
          }
          revision_ = revision;
          loaded_ = true;
          synced_at_ = std::max(synced_at_, sent);
          Watch();
        });
  });
}

void JobCache::Watch() {
  busy_ = true;
  const double sent = context_->now;
  next_watch_ = sent + watch_every_s_;
  context_->WatchKeys(keys::kWatched, revision_,
                      [this, sent](const StateResult& result) {
                        busy_ = false;
                        if (result.outcome != Outcome::kOk) {
                          retry_at_ = context_->now + 0.2;
                          return;
                        }
                        if (result.too_old) {
                          loaded_ = false;
                          return;
                        }
                        for (const KeyValue& change : result.items)
                          Apply(change);
                        revision_ = std::max(revision_, result.revision);
                        synced_at_ = std::max(synced_at_, sent);
                        if (!busy_ && context_->now >= next_watch_) Watch();
                      });
}

void JobCache::Apply(const KeyValue& change) {
  if (change.key == keys::kLeader) {
    if (change.removed)
      ApplyLeader(0, LeaderRecord(), change.version);
    else if (const auto leader = protocol::ParseLeaderRecord(change.value))
      ApplyLeader(change.version, *leader, change.version);
    return;
  }
  if (const std::string id = keys::After(change.key, keys::kLive);
      !id.empty()) {
    if (!change.removed) ApplyLiveJob(id, change.version, change.value);
    return;  // a removal comes with the final key, in the same transaction
  }
  if (const std::string id = keys::After(change.key, keys::kFinal);
      !id.empty() && !change.removed) {
    if (const auto state = protocol::ParseFinalState(change.value))
      ApplyFinalState(id, *state);
  }
}

CachedJob* JobCache::FindLive(const std::string& id) {
  auto it = live_.find(id);
  return it == live_.end() ? nullptr : &it->second;
}

std::optional<FinalState> JobCache::FindFinal(const std::string& id) const {
  auto it = final_.find(id);
  if (it == final_.end()) return std::nullopt;
  return it->second;
}

void JobCache::ApplyLiveJob(const std::string& id, uint64_t version,
                            const std::string& value) {
  auto known = live_.find(id);
  if (known != live_.end() && known->second.version >= version) return;
  auto job = protocol::ParseLiveJob(value);
  if (!job || job->spec.id != id) {
    context_->Error("job record can't be read", {{"job", id}});
    return;
  }
  ApplyLiveJob(id, version, std::make_shared<LiveJob>(std::move(*job)));
}

void JobCache::ApplyLiveJob(const std::string& id, uint64_t version,
                            std::shared_ptr<const LiveJob> job) {
  if (final_.count(id)) return;  // late news: the job has ended
  CachedJob& known = live_[id];
  if (known.version >= version) return;
  known.version = version;
  known.job = std::move(job);
  known.counts.id = id;
  if (on_job_live) on_job_live(id);
}

void JobCache::ApplyFinalState(const std::string& id, FinalState state) {
  if (!final_.emplace(id, state).second) return;
  final_order_.push_back(id);
  if (final_order_.size() > kFinalStateCacheSize) {
    final_.erase(final_order_.front());
    final_order_.pop_front();
  }
  live_.erase(id);
  if (on_job_ended) on_job_ended(id, state);
}

void JobCache::ApplyListing(const StateResult& listing) {
  std::map<std::string, bool> present;
  for (const KeyValue& item : listing.items) {
    const std::string id = keys::After(item.key, keys::kLive);
    present[id] = true;
    ApplyLiveJob(id, item.version, item.value);
  }
  // What we hold from before the listing and it lacks has ended; how, is read
  // from its final key.
  for (const auto& [id, known] : live_) {
    if (present.count(id) || known.version > listing.revision) continue;
    context_->GetKey(
        StateConnection::kLeader, keys::Final(id),
        [this, id = id](const StateResult& got) {
          if (got.outcome != Outcome::kOk || got.items.empty()) return;
          if (const auto state = protocol::ParseFinalState(got.items[0].value))
            ApplyFinalState(id, *state);
        });
  }
}

void JobCache::ApplyLeader(uint64_t version, const LeaderRecord& leader,
                           uint64_t revision) {
  if (leader_known_ && revision < leader_revision_) return;
  leader_known_ = true;
  leader_version_ = version;
  leader_revision_ = revision;
  leader_ = leader;
}

}  // namespace sorrelwood
