// Every controller's copy of the jobs and of the leader key, kept by a watch.
// A job moves once, from live to final, and never back: whatever order the
// news come in, a final state is not undone.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/engine/context.h"

namespace sorrelwood {

struct CachedJob {
  uint64_t version = 0;
  std::shared_ptr<const LiveJob> job;
  JobCounts counts;  // for display, from the leader's notes
};

class JobCache {
 public:
  // Watches are sent no more often than `watch_every_s`.
  explicit JobCache(Context* context, double watch_every_s = 0)
      : context_(context), watch_every_s_(watch_every_s) {}

  void Tick();

  bool loaded() const { return loaded_; }
  // A moment by which every earlier change is known here.
  double synced_at() const { return synced_at_; }

  CachedJob* FindLive(const std::string& id);
  std::optional<FinalState> FindFinal(const std::string& id) const;
  const std::map<std::string, CachedJob>& live() const { return live_; }

  void ApplyLiveJob(const std::string& id, uint64_t version,
                    const std::string& value);
  void ApplyLiveJob(const std::string& id, uint64_t version,
                    std::shared_ptr<const LiveJob> job);
  void ApplyFinalState(const std::string& id, FinalState state);
  // Takes a listing of the live keys that is of `revision` or later.
  void ApplyListing(const StateResult& listing);

  // The leader key as last seen: version 0 when it is absent.
  bool leader_known() const { return leader_known_; }
  uint64_t leader_version() const { return leader_version_; }
  const LeaderRecord& leader() const { return leader_; }
  // Told by whoever changed the leader key or read it.
  void ApplyLeader(uint64_t version, const LeaderRecord& leader,
                   uint64_t revision);

  // Called for each job that is new or that ends.
  std::function<void(const std::string& id)> on_job_live;
  std::function<void(const std::string& id, FinalState)> on_job_ended;

 private:
  void Load();
  void Watch();
  void Apply(const KeyValue& change);

  Context* context_;
  const double watch_every_s_;
  double next_watch_ = 0;
  std::map<std::string, CachedJob> live_;
  std::unordered_map<std::string, FinalState> final_;
  std::deque<std::string> final_order_;
  bool loaded_ = false;
  bool busy_ = false;  // a listing or a watch is under way
  double retry_at_ = 0;
  uint64_t revision_ = 0;
  double synced_at_ = -1e9;
  bool leader_known_ = false;
  uint64_t leader_version_ = 0;
  uint64_t leader_revision_ = 0;  // news older than this are not applied
  LeaderRecord leader_;
};

}  // namespace sorrelwood
