// Every controller's copy of the live jobs, the latest final states and the
// leader key, kept up to date by a watch. A job changes once, from live to
// final: an end is never undone, in whatever order updates arrive.
//
// The live record of a job has one version from its submission to its end, so
// the revision up to which the cache is complete tells whether a record still
// holds: a job whose version is not above that revision and that the cache does
// not list has ended, even if its final state was never seen here.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/coordination/leader_key.h"
#include "core/engine/context.h"

namespace sorrelwood {

struct CachedJob {
  uint64_t version = 0;  // of the live key; 0: no version applied yet
  std::shared_ptr<const LiveJob> job;
  JobCounts counts;  // as last reported by the leader, for display only
};

// What became of a live record that was handed to the job cache.
enum class LiveRecordResult {
  kLive,        // the cache lists the job as live
  kEnded,       // the record is outdated: the job has ended since
  kUnreadable,  // the record is not in a format that this version reads
};

class JobCache {
 public:
  // Consecutive watches are sent at least `min_watch_interval_s` apart.
  explicit JobCache(Context* context, double min_watch_interval_s = 0)
      : context_(context), min_watch_interval_s_(min_watch_interval_s) {}

  void Tick();

  bool loaded() const { return loaded_; }
  // The cache contains every change that was committed before this time (steady
  // clock, s).
  double synced_at() const { return synced_at_; }

  CachedJob* FindLiveJob(const std::string& id);
  std::optional<FinalState> FindFinalState(const std::string& id) const;
  // Whether the job's state is known: live or final.
  bool Contains(const std::string& id) const {
    return live_jobs_.count(id) > 0 || final_states_.count(id) > 0;
  }
  const std::map<std::string, CachedJob>& live_jobs() const {
    return live_jobs_;
  }

  // Adds the job of a live record, unless it has ended. The record may come
  // from any answer of the state service, however late.
  LiveRecordResult ApplyLiveJob(const std::string& id, uint64_t version,
                                const std::string& value);
  LiveRecordResult ApplyLiveJob(const std::string& id, uint64_t version,
                                std::shared_ptr<const LiveJob> job);
  void ApplyFinalState(const std::string& id, FinalState state);
  // Applies a listing of all live keys. Cached jobs that it lacks have ended
  // and leave the cache; whether they are done or cancelled is read when a user
  // asks.
  void ApplyListing(const StateResult& listing);

  LeaderKey& leader_key() { return leader_key_; }
  const LeaderKey& leader_key() const { return leader_key_; }

  // Called for each new live job, and for each job that ends, possibly a second
  // time when its final state becomes known.
  std::function<void(const std::string& id)> on_job_added;
  std::function<void(const std::string& id)> on_job_ended;

 private:
  void LoadListing();
  void SendWatch();
  void ApplyChange(const KeyValue& change);
  // Whether the job of a live record with this version has ended.
  bool HasEnded(const std::string& id, uint64_t version) const;
  LiveRecordResult IgnoreOutdatedRecord(const std::string& id,
                                        uint64_t version) const;

  Context* context_;
  const double min_watch_interval_s_;
  double next_watch_at_ = 0;
  std::map<std::string, CachedJob> live_jobs_;
  std::unordered_map<std::string, FinalState> final_states_;
  std::deque<std::string> final_states_in_order_;  // job ids, oldest first
  bool loaded_ = false;
  bool request_in_flight_ = false;  // a listing or a watch
  double retry_at_ = 0;
  uint64_t revision_ = 0;  // the next watch starts after this revision
  // Every job that was recorded up to this revision has ended or is cached.
  // Above `revision_` after a listing that the watch has not caught up with.
  uint64_t complete_revision_ = 0;
  double synced_at_ = -1e9;  // steady clock, s; -1e9: never synced
  LeaderKey leader_key_;
};

}  // namespace sorrelwood
