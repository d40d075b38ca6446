// The leader's writes: batched, paced under the state service's rate, each
// guarded by the leader key and by the version that the key itself had. The
// second guards against a late copy of an older write undoing a newer one.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "core/coordination/leadership.h"
#include "core/coordination/state_limits.h"
#include "core/engine/context.h"

namespace sorrelwood {

class Writer {
 public:
  // What becomes of one write.
  struct Handling {
    std::function<void()> written;
    // The value is over the state service's limit: it is not tried again.
    std::function<void()> too_large;
    bool urgent = false;
  };

  Writer(Context* context, Leadership* leadership,
         const StateLimitTracker* limits);

  // Repeated until it is committed or found to be too large; a later write of
  // the same key replaces one that has not left yet. What nothing may be
  // launched or rented before is urgent: it goes before progress, which would
  // keep a new fleet waiting.
  void Put(const std::string& key, std::string value, Handling handling);
  void Put(const std::string& key, std::string value) {
    Put(key, std::move(value), Handling());
  }
  void Remove(const std::string& key);
  // What a listing says of a key, before the first write to it.
  void LearnVersion(const std::string& key, uint64_t version) {
    versions_[key] = version;
  }
  // A transaction of its own, tried once.
  void Commit(std::vector<Guard> guards, std::vector<StateOp> ops,
              StateCallback done);
  // Whether the end of one more job fits under the rate now. Ends have half of
  // the rate to themselves: guards against the progress of running arrays
  // keeping users from hearing that their jobs are done.
  bool AllowsEnd() const {
    return end_tokens_ >= kEndOps ||
           (tokens_ >= kEndOps && urgent_.empty() && order_.empty());
  }
  // The end of a job: kEndOps changes, or a few more.
  void CommitEnd(std::vector<Guard> guards, std::vector<StateOp> ops,
                 StateCallback done);

  void Tick();
  void Clear();

 private:
  struct Entry {
    StateOp op;
    Handling handling;
    // A batch with it was refused for its size: it leaves alone, so that it
    // neither holds up others nor is tried for ever.
    bool alone = false;
  };
  void Line(const std::string& key, bool urgent) {
    (urgent ? urgent_ : order_).push_back(key);
  }
  void Transact(std::vector<Guard> guards, std::vector<StateOp> ops,
                StateCallback done);
  void Send();
  // What goes into one transaction, from the front of the lines.
  std::vector<Entry> TakeBatch();
  void Sent(std::vector<Entry> batch, const StateResult& result);
  void Refused(Entry&& entry, bool in_a_batch);
  void Read(const std::string& key);
  void Queue(const std::string& key, Entry&& entry);

  Context* context_;
  Leadership* leadership_;
  const StateLimitTracker* limits_;
  std::map<std::string, Entry> waiting_;
  std::deque<std::string> urgent_, order_;    // keys in `waiting_`
  std::map<std::string, uint64_t> versions_;  // absent: the key does not exist
  std::set<std::string> uncertain_;  // to be read before the next write
  int in_flight_ = 0;
  uint64_t generation_ = 0;  // results of an earlier term are ignored
  static constexpr double kEndOps =
      2;  // the live key goes, the final one comes
  double tokens_ = 0, end_tokens_ = 0, refilled_at_ = 0, next_send_ = 0;
};

}  // namespace sorrelwood
