#include "core/writer.h"

#include <algorithm>

#include "core/constants.h"
#include "core/keys.h"

namespace sorrelwood {

Writer::Writer(Context* context, Leadership* leadership,
               const ClusterSettings* settings)
    : context_(context), leadership_(leadership), settings_(settings) {}

void Writer::Put(const std::string& key, std::string value, Done done,
                 bool urgent) {
  auto [it, added] = waiting_.try_emplace(key);
  it->second.urgent = urgent;
  it->second.op = StateOp{false, key, std::move(value), 0};
  if (done) it->second.done = std::move(done);
  if (added) Line(key, urgent);
}

void Writer::Remove(const std::string& key) {
  auto [it, added] = waiting_.try_emplace(key);
  it->second.op = StateOp{true, key, "", 0};
  it->second.done = nullptr;
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
  const double rate = settings_->state_write_rps * kWriteShare;
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

void Writer::Send() {
  std::vector<StateOp> ops;
  std::vector<Guard> guards;
  std::vector<Entry> sent;
  const size_t most =
      std::min<size_t>(static_cast<size_t>(settings_->state_txn_ops),
                       static_cast<size_t>(std::max(1.0, tokens_)));
  size_t bytes = 0;
  while (!(urgent_.empty() && order_.empty()) && ops.size() < most &&
         bytes < kMostWriteBytes) {
    auto& line = urgent_.empty() ? order_ : urgent_;
    const std::string key = line.front();
    line.pop_front();
    if (uncertain_.count(key)) {
      Read(key);
      continue;
    }
    auto it = waiting_.find(key);
    bytes += it->second.op.value.size();
    auto version = versions_.find(key);
    guards.push_back({key, version == versions_.end() ? 0 : version->second});
    ops.push_back(it->second.op);
    sent.push_back(std::move(it->second));
    waiting_.erase(it);
  }
  if (ops.empty()) return;
  ++in_flight_;
  Commit(std::move(guards), std::move(ops),
         [this, sent = std::move(sent)](const StateResult& result) {
           --in_flight_;
           for (const Entry& entry : sent) {
             if (result.outcome == Outcome::kOk) {
               if (entry.op.remove)
                 versions_.erase(entry.op.key);
               else
                 versions_[entry.op.key] = result.revision;
               if (entry.done) entry.done();
               continue;
             }
             // It may have been carried out, or a late copy of an earlier write
             // was: what the key holds is read first.
             if (result.outcome != Outcome::kRefused)
               uncertain_.insert(entry.op.key);
             Queue(entry.op.key, entry);
           }
           if (result.outcome != Outcome::kOk)
             next_send_ = context_->now + kWriteRetryS;
         });
}

// Puts back what could not be written, unless a newer write of the key waits.
void Writer::Queue(const std::string& key, Entry entry) {
  const bool urgent = entry.urgent;
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
                    Line(key, it->second.urgent);
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
