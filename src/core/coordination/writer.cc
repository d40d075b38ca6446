#include "core/coordination/writer.h"

#include <algorithm>

#include "base/constants.h"
#include "core/coordination/keys.h"

namespace sorrelwood {

Writer::Writer(Context* context, Leadership* leadership,
               const StateLimitTracker* limits)
    : context_(context), leadership_(leadership), limits_(limits) {}

void Writer::Put(const std::string& key, std::string value, Handling handling) {
  auto [it, added] = waiting_.try_emplace(key);
  Entry& entry = it->second;
  entry.op = StateOp{false, key, std::move(value), 0};
  entry.alone = false;
  entry.handling.urgent = handling.urgent;
  if (handling.written) entry.handling.written = std::move(handling.written);
  if (handling.too_large)
    entry.handling.too_large = std::move(handling.too_large);
  if (added) Line(key, handling.urgent);
}

void Writer::Remove(const std::string& key) {
  auto [it, added] = waiting_.try_emplace(key);
  it->second.op = StateOp{true, key, "", 0};
  it->second.handling = Handling();
  if (added) order_.push_back(key);
}

void Writer::Commit(std::vector<Guard> guards, std::vector<StateOp> ops,
                    StateCallback done) {
  tokens_ -= static_cast<double>(ops.size());
  Transact(std::move(guards), std::move(ops), std::move(done));
}

void Writer::CommitEnd(std::vector<Guard> guards, std::vector<StateOp> ops,
                       StateCallback done) {
  (end_tokens_ >= kEndOps ? end_tokens_ : tokens_) -=
      static_cast<double>(ops.size());
  Transact(std::move(guards), std::move(ops), std::move(done));
}

void Writer::Transact(std::vector<Guard> guards, std::vector<StateOp> ops,
                      StateCallback done) {
  guards.push_back(leadership_->guard());
  context_->Transact(StateLane::kLeader, std::move(guards), std::move(ops),
                     [this, done = std::move(done),
                      generation = generation_](const StateResult& result) {
                       if (generation != generation_) return;
                       if (result.outcome == Outcome::kConflict &&
                           std::find(result.failed.begin(), result.failed.end(),
                                     keys::kLeader) != result.failed.end()) {
                         leadership_->StepDown("a write found another leader");
                         return;
                       }
                       done(result);
                     });
}

void Writer::Tick() {
  const double rate = limits_->changes_per_s() * kWriteShare;
  const double gain = (context_->now - refilled_at_) * rate / 2;
  refilled_at_ = context_->now;
  // What ends of jobs leave of their half is there for the rest.
  end_tokens_ += gain;
  const double left = std::max(0.0, end_tokens_ - rate / 2);
  end_tokens_ -= left;
  tokens_ = std::min(rate, tokens_ + gain + left);
  while (!(urgent_.empty() && order_.empty()) && in_flight_ < 1 &&
         context_->now >= next_send_ && tokens_ >= 1)
    Send();
}

std::vector<Writer::Entry> Writer::TakeBatch() {
  const size_t most =
      std::min(static_cast<size_t>(limits_->transaction_changes()),
               static_cast<size_t>(std::max(1.0, tokens_)));
  std::vector<Entry> batch;
  size_t bytes = 0;
  while (!(urgent_.empty() && order_.empty()) && batch.size() < most &&
         bytes < kMostWriteBytes) {
    auto& line = urgent_.empty() ? order_ : urgent_;
    const std::string key = line.front();
    auto it = waiting_.find(key);
    const bool alone = it->second.alone && !uncertain_.count(key);
    if (alone && !batch.empty()) break;
    line.pop_front();
    if (uncertain_.count(key)) {
      Read(key);
      continue;
    }
    bytes += it->second.op.value.size();
    batch.push_back(std::move(it->second));
    waiting_.erase(it);
    if (alone) break;
  }
  return batch;
}

void Writer::Send() {
  std::vector<Entry> batch = TakeBatch();
  if (batch.empty()) return;
  std::vector<StateOp> ops;
  std::vector<Guard> guards;
  for (const Entry& entry : batch) {
    const auto version = versions_.find(entry.op.key);
    guards.push_back(
        {entry.op.key, version == versions_.end() ? 0 : version->second});
    ops.push_back(entry.op);
  }
  ++in_flight_;
  Commit(std::move(guards), std::move(ops),
         [this, batch = std::move(batch)](const StateResult& result) {
           --in_flight_;
           Sent(batch, result);
         });
}

void Writer::Sent(std::vector<Entry> batch, const StateResult& result) {
  const bool too_large = result.refusal == StateRefusal::kTooLarge;
  if (result.outcome != Outcome::kOk && !too_large)
    next_send_ = context_->now + kWriteRetryS;
  const bool in_a_batch = batch.size() > 1;
  for (Entry& entry : batch) {
    const std::string key = entry.op.key;
    if (result.outcome == Outcome::kOk) {
      if (entry.op.remove)
        versions_.erase(key);
      else
        versions_[key] = result.revision;
      if (entry.handling.written) entry.handling.written();
    } else if (too_large) {
      Refused(std::move(entry), in_a_batch);
    } else {
      // It may have been carried out, or a late copy of an earlier write was:
      // what the key holds is read first.
      if (result.outcome != Outcome::kRefused) uncertain_.insert(key);
      Queue(key, std::move(entry));
    }
  }
}

// Guards against a value that is never taken being tried for ever, and keeping
// from the state service what waits behind it.
void Writer::Refused(Entry&& entry, bool in_a_batch) {
  const std::string key = entry.op.key;
  if (in_a_batch) {
    entry.alone = true;
    Queue(key, std::move(entry));
    return;
  }
  context_->Error("the state service takes no " +
                  std::to_string(entry.op.value.size()) + " bytes at " + key);
  if (entry.handling.too_large) entry.handling.too_large();
}

// Puts back what could not be written, unless a newer write of the key waits.
void Writer::Queue(const std::string& key, Entry&& entry) {
  const bool urgent = entry.handling.urgent;
  if (waiting_.try_emplace(key, std::move(entry)).second) Line(key, urgent);
}

void Writer::Read(const std::string& key) {
  context_->Get(StateLane::kLeader, key,
                [this, key, generation = generation_](const StateResult& got) {
                  if (generation != generation_) return;
                  if (got.outcome == Outcome::kOk && !got.items.empty()) {
                    versions_[key] = got.items[0].version;
                    uncertain_.erase(key);
                  } else if (got.outcome == Outcome::kConflict) {
                    versions_.erase(key);
                    uncertain_.erase(key);
                  } else {
                    next_send_ = context_->now + kWriteRetryS;
                  }
                  if (auto it = waiting_.find(key); it != waiting_.end())
                    Line(key, it->second.handling.urgent);
                });
}

void Writer::Clear() {
  waiting_.clear();
  urgent_.clear();
  order_.clear();
  versions_.clear();
  uncertain_.clear();
  in_flight_ = 0;
  ++generation_;
}

}  // namespace sorrelwood
