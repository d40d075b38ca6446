#include "core/writer.h"

#include <algorithm>

#include "core/constants.h"
#include "core/keys.h"

namespace sorrelwood {

Writer::Writer(Context* context, Leadership* leadership,
               const ClusterSettings* settings)
    : context_(context), leadership_(leadership), settings_(settings) {}

void Writer::Put(const std::string& key, std::string value, Done done) {
  auto [it, added] = waiting_.try_emplace(key);
  it->second.op = StateOp{false, key, std::move(value), 0};
  if (done) it->second.done = std::move(done);
  if (added) order_.push_back(key);
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
  guards.push_back(leadership_->guard());
  context_->Transact(
      StateLane::kLeader, std::move(guards), std::move(ops),
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
  tokens_ = std::min(rate, tokens_ + (context_->now - refilled_at_) * rate);
  refilled_at_ = context_->now;
  while (!order_.empty() && in_flight_ < 1 && context_->now >= next_send_ &&
         tokens_ >= 1)
    Send();
}

void Writer::Send() {
  std::vector<StateOp> ops;
  std::vector<Entry> sent;
  const size_t most = std::min<size_t>(
      static_cast<size_t>(settings_->state_txn_ops),
      static_cast<size_t>(std::max(1.0, tokens_)));
  size_t bytes = 0;
  // Half of the protocol's 64 KiB a request, for quoting and guards.
  constexpr size_t kMostBytes = 32 * 1024;
  while (!order_.empty() && ops.size() < most && bytes < kMostBytes) {
    auto it = waiting_.find(order_.front());
    order_.pop_front();
    bytes += it->second.op.value.size();
    ops.push_back(it->second.op);
    sent.push_back(std::move(it->second));
    waiting_.erase(it);
  }
  ++in_flight_;
  Commit({}, std::move(ops),
         [this, sent = std::move(sent)](const StateResult& result) {
           --in_flight_;
           if (result.outcome == Outcome::kOk) {
             for (const Entry& entry : sent)
               if (entry.done) entry.done();
             return;
           }
           next_send_ = context_->now + 0.3;
           for (const Entry& entry : sent) {
             if (waiting_.count(entry.op.key)) continue;  // a newer one waits
             waiting_[entry.op.key] = entry;
             order_.push_back(entry.op.key);
           }
         });
}

void Writer::Clear() {
  waiting_.clear();
  order_.clear();
  in_flight_ = 0;
  ++generation_;
}

}  // namespace sorrelwood
