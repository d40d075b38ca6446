// Writes the leader's records in batches and below the state service's rate
// limit. Each write has two preconditions: the leader key, and the version of
// the written key itself. The latter prevents a late copy of an older write
// from undoing a newer one.
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
  struct WriteOptions {
    // Called when the write is committed.
    std::function<void()> on_written;
    // Called when the value exceeds the state service's limit: the write is not
    // retried.
    std::function<void()> on_too_large;
    // Whether it is sent before all writes that are not urgent.
    bool urgent = false;
  };

  StateWriter(Context* context, LeaderElection* election,
              const StateLimitTracker* limits);

  // Queues a write and retries it until it is committed or found to be too
  // large. A later write of the same key replaces a pending one. Records that
  // must be stored before a task may start or a machine may be rented are
  // urgent: queued behind completion records they would delay a new fleet.
  void Put(const std::string& key, std::string value, WriteOptions options);
  void Put(const std::string& key, std::string value) {
    Put(key, std::move(value), WriteOptions());
  }
  void Remove(const std::string& key);
  // Sets the version of a key that a listing has returned. Called before the
  // first write to the key.
  void CacheVersion(const std::string& key, uint64_t version) {
    versions_[key] = version;
  }
  // Sends a separate transaction once, without retry.
  void Commit(std::vector<Precondition> preconditions,
              std::vector<Mutation> mutations, StateCallback done);
  // Whether the rate limit currently allows the end of one more job. Half of
  // the rate is reserved for job ends, so that completion records of running
  // arrays do not delay the end of other jobs.
  bool MayCommitJobEnd() const {
    return job_end_tokens_ >= kMutationsPerJobEnd ||
           (tokens_ >= kMutationsPerJobEnd && urgent_queue_.empty() &&
            normal_queue_.empty());
  }
  // Sends the end of a job once, without retry. It takes kMutationsPerJobEnd
  // mutations.
  void CommitJobEnd(std::vector<Precondition> preconditions,
                    std::vector<Mutation> mutations, StateCallback done);

  void Tick();
  void Clear();

 private:
  struct Entry {
    Mutation mutation;
    WriteOptions options;
    // Set after a batch with this entry was refused for its size. Sent alone,
    // the entry cannot block others, and one that is too large itself is found.
    bool send_alone = false;
  };
  void Enqueue(const std::string& key, bool urgent) {
    (urgent ? urgent_queue_ : normal_queue_).push_back(key);
  }
  void Transact(std::vector<Precondition> preconditions,
                std::vector<Mutation> mutations, StateCallback done);
  void SendBatch();
  // Removes the entries of the next transaction from the queues.
  std::vector<Entry> TakeBatch();
  void OnBatchResult(std::vector<Entry> batch, const StateResult& result);
  // Called when a transaction with this entry was refused for its size.
  // Prevents endless retries of a value that is always refused, which would
  // also block the entries behind it.
  void OnTooLarge(Entry&& entry, bool in_a_batch);
  // Reads the current version of an uncertain key, then queues its write again.
  void ReadVersion(const std::string& key);
  // Queues a failed write again, unless a newer write of the key is pending.
  void Requeue(const std::string& key, Entry&& entry);

  Context* context_;
  LeaderElection* election_;
  const StateLimitTracker* limits_;
  std::map<std::string, Entry> pending_;
  std::deque<std::string> urgent_queue_, normal_queue_;  // keys in `pending_`
  std::map<std::string, uint64_t> versions_;  // absent: the key does not exist
  // Keys whose last write may or may not have been committed. Their version is
  // read before the next write.
  std::set<std::string> uncertain_keys_;
  int batches_in_flight_ = 0;
  // Raised by Clear(): results of requests sent before are ignored.
  uint64_t generation_ = 0;
  // One removes the live key, the other writes the final key.
  static constexpr double kMutationsPerJobEnd = 2;
  // Token buckets, in mutations: one for any write, one reserved for job ends.
  double tokens_ = 0, job_end_tokens_ = 0;
  double refilled_at_ = 0;   // steady clock, s
  double next_send_at_ = 0;  // no batch is sent before (steady clock, s)
};

}  // namespace sorrelwood
