#include "core/coordination/state_writer.h"

#include <algorithm>

#include "base/constants.h"
#include "core/coordination/keys.h"

namespace sorrelwood {

StateWriter::StateWriter(Context* context, LeaderElection* election,
                         const StateLimitTracker* limits)
    : context_(context), election_(election), limits_(limits) {}

void StateWriter::Put(const std::string& key, std::string value,
                      WriteOptions options) {
  auto [it, added] = waiting_.try_emplace(key);
  Entry& entry = it->second;
  entry.op = Mutation{false, key, std::move(value), 0};
  entry.alone = false;
  entry.options.urgent = options.urgent;
  if (options.written) entry.options.written = std::move(options.written);
  if (options.too_large) entry.options.too_large = std::move(options.too_large);
  if (added) Line(key, options.urgent);
}

void StateWriter::Remove(const std::string& key) {
  auto [it, added] = waiting_.try_emplace(key);
  it->second.op = Mutation{true, key, "", 0};
  it->second.options = WriteOptions();
  if (added) order_.push_back(key);
}

void StateWriter::Commit(std::vector<Precondition> preconditions,
                         std::vector<Mutation> mutations, StateCallback done) {
  tokens_ -= static_cast<double>(mutations.size());
  Transact(std::move(preconditions), std::move(mutations), std::move(done));
}

void StateWriter::CommitJobEnd(std::vector<Precondition> preconditions,
                               std::vector<Mutation> mutations,
                               StateCallback done) {
  (job_end_tokens_ >= kMutationsPerJobEnd ? job_end_tokens_ : tokens_) -=
      static_cast<double>(mutations.size());
  Transact(std::move(preconditions), std::move(mutations), std::move(done));
}

void StateWriter::Transact(std::vector<Precondition> preconditions,
                           std::vector<Mutation> mutations,
                           StateCallback done) {
  preconditions.push_back(election_->leader_precondition());
  context_->Transact(
      StateConnection::kLeader, std::move(preconditions), std::move(mutations),
      [this, done = std::move(done),
       generation = generation_](const StateResult& result) {
        if (generation != generation_) return;
        if (result.outcome == Outcome::kConflict &&
            std::find(result.failed_preconditions.begin(),
                      result.failed_preconditions.end(),
                      keys::kLeader) != result.failed_preconditions.end()) {
          election_->StepDown("a write found another leader");
          return;
        }
        done(result);
      });
}

void StateWriter::Tick() {
  const double rate = limits_->changes_per_s() * kLeaderWriteShare;
  const double gain = (context_->now - refilled_at_) * rate / 2;
  refilled_at_ = context_->now;
  // What ends of jobs leave of their half is there for the rest.
  job_end_tokens_ += gain;
  const double left = std::max(0.0, job_end_tokens_ - rate / 2);
  job_end_tokens_ -= left;
  tokens_ = std::min(rate, tokens_ + gain + left);
  while (!(urgent_.empty() && order_.empty()) && in_flight_ < 1 &&
         context_->now >= next_send_ && tokens_ >= 1)
    Send();
}

std::vector<StateWriter::Entry> StateWriter::TakeBatch() {
  const size_t most = std::min(static_cast<size_t>(limits_->max_mutations()),
                               static_cast<size_t>(std::max(1.0, tokens_)));
  std::vector<Entry> batch;
  size_t bytes = 0;
  while (!(urgent_.empty() && order_.empty()) && batch.size() < most &&
         bytes < kMaxWriteBytes) {
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

void StateWriter::Send() {
  std::vector<Entry> batch = TakeBatch();
  if (batch.empty()) return;
  std::vector<Mutation> mutations;
  std::vector<Precondition> preconditions;
  for (const Entry& entry : batch) {
    const auto version = versions_.find(entry.op.key);
    preconditions.push_back(
        {entry.op.key, version == versions_.end() ? 0 : version->second});
    mutations.push_back(entry.op);
  }
  ++in_flight_;
  Commit(std::move(preconditions), std::move(mutations),
         [this, batch = std::move(batch)](const StateResult& result) {
           --in_flight_;
           Sent(batch, result);
         });
}

void StateWriter::Sent(std::vector<Entry> batch, const StateResult& result) {
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
      if (entry.options.written) entry.options.written();
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
void StateWriter::Refused(Entry&& entry, bool in_a_batch) {
  const std::string key = entry.op.key;
  if (in_a_batch) {
    entry.alone = true;
    Queue(key, std::move(entry));
    return;
  }
  context_->Error("value over the state service's limit",
                  {{"key", key}, {"bytes", entry.op.value.size()}});
  if (entry.options.too_large) entry.options.too_large();
}

// Puts back what could not be written, unless a newer write of the key waits.
void StateWriter::Queue(const std::string& key, Entry&& entry) {
  const bool urgent = entry.options.urgent;
  if (waiting_.try_emplace(key, std::move(entry)).second) Line(key, urgent);
}

void StateWriter::Read(const std::string& key) {
  context_->GetKey(
      StateConnection::kLeader, key,
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
          Line(key, it->second.options.urgent);
      });
}

void StateWriter::Clear() {
  waiting_.clear();
  urgent_.clear();
  order_.clear();
  versions_.clear();
  uncertain_.clear();
  in_flight_ = 0;
  ++generation_;
}

}  // namespace sorrelwood
