// The leader's writes: batched, paced under the state service's rate, each
// guarded by the leader key and by the version that the key itself had. The
// second guards against a late copy of an older write undoing a newer
// one.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "core/coordination/leader_election.h"
#include "core/coordination/state_limits.h"
#include "core/engine/context.h"

namespace sorrelwood {

class StateWriter {
 public:
  // What becomes of one write.
  struct WriteOptions {
    std::function<void()> written;
    // The value is over the state service's limit: it is not tried again.
    std::function<void()> too_large;
    bool urgent = false;
  };

  StateWriter(Context* context, LeaderElection* election,
              const StateLimitTracker* limits);

  // Repeated until it is committed or found to be too large; a later write of
  // the same key replaces one that has not left yet. What nothing may be
  // launched or rented before is urgent: it goes before progress, which would
  // keep a new fleet waiting.
  void Put(const std::string& key, std::string value, WriteOptions options);
  void Put(const std::string& key, std::string value) {
    Put(key, std::move(value), WriteOptions());
  }
  void Remove(const std::string& key);
  // What a listing says of a key, before the first write to it.
  void CacheVersion(const std::string& key, uint64_t version) {
    versions_[key] = version;
  }
  // A transaction of its own, tried once.
  void Commit(std::vector<Precondition> preconditions,
              std::vector<Mutation> mutations, StateCallback done);
  // Whether the end of one more job fits under the rate now. Ends have half of
  // the rate to themselves: guards against the progress of running
  // arrays keeping users from hearing that their jobs are done.
  bool MayCommitJobEnd() const {
    return job_end_tokens_ >= kMutationsPerJobEnd ||
           (tokens_ >= kMutationsPerJobEnd && urgent_.empty() &&
            order_.empty());
  }
  // The end of a job: kMutationsPerJobEnd changes, or a few more.
  void CommitJobEnd(std::vector<Precondition> preconditions,
                    std::vector<Mutation> mutations, StateCallback done);

  void Tick();
  void Clear();

 private:
  struct Entry {
    Mutation op;
    WriteOptions options;
    // A batch with it was refused for its size: it leaves alone, so that it
    // neither holds up others nor is tried for ever.
    bool alone = false;
  };
  void Line(const std::string& key, bool urgent) {
    (urgent ? urgent_ : order_).push_back(key);
  }
  void Transact(std::vector<Precondition> preconditions,
                std::vector<Mutation> mutations, StateCallback done);
  void Send();
  // What goes into one transaction, from the front of the lines.
  std::vector<Entry> TakeBatch();
  void Sent(std::vector<Entry> batch, const StateResult& result);
  void Refused(Entry&& entry, bool in_a_batch);
  void Read(const std::string& key);
  void Queue(const std::string& key, Entry&& entry);

  Context* context_;
  LeaderElection* election_;
  const StateLimitTracker* limits_;
  std::map<std::string, Entry> waiting_;
  std::deque<std::string> urgent_, order_;    // keys in `waiting_`
  std::map<std::string, uint64_t> versions_;  // absent: the key does not exist
  std::set<std::string> uncertain_;  // to be read before the next write
  int in_flight_ = 0;
  uint64_t generation_ = 0;  // results of an earlier term are ignored
  static constexpr double kMutationsPerJobEnd =
      2;  // the live key goes, the final one comes
  double tokens_ = 0, job_end_tokens_ = 0, refilled_at_ = 0, next_send_ = 0;
};

}  // namespace sorrelwood
