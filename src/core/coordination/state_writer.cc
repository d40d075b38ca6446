#include "core/coordination/state_writer.h"

#include <algorithm>

#include "base/constants/state_service.h"
#include "core/coordination/keys.h"

namespace sorrelwood {
namespace {

// Bytes that a mutation takes in a transaction with its precondition, at most.
size_t EncodedBytes(const Mutation& mutation) {
  return 2 * mutation.key.size() + mutation.value.size() +
         kPreconditionOverheadBytes + kMutationOverheadBytes;
}

}  // namespace

StateWriter::StateWriter(Context* context, LeaderElection* election,
                         const StateLimitTracker* limits)
    : context_(context), election_(election), limits_(limits) {}

void StateWriter::Put(const std::string& key, std::string value,
                      WriteOptions options) {
  auto [pending, added] = pending_.try_emplace(key);
  Entry& entry = pending->second;
  entry.mutation = Mutation{/*remove=*/false, key, std::move(value), 0};
  entry.send_alone = false;
  entry.options.urgent = options.urgent;
  if (options.on_written)
    entry.options.on_written = std::move(options.on_written);
  if (options.on_too_large)
    entry.options.on_too_large = std::move(options.on_too_large);
  if (added) Enqueue(key, options.urgent);
}

void StateWriter::Remove(const std::string& key) {
  auto [pending, added] = pending_.try_emplace(key);
  pending->second.mutation = Mutation{/*remove=*/true, key, "", 0};
  pending->second.options = WriteOptions();
  if (added) normal_queue_.push_back(key);
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
  const double rate = limits_->mutations_per_s() * kLeaderWriteShare;
  const double refill = (context_->now - refilled_at_) * rate / 2;
  refilled_at_ = context_->now;
  // Each bucket gets half of the rate. Tokens that job ends do not use go to
  // all other writes.
  job_end_tokens_ += refill;
  const double surplus = std::max(0.0, job_end_tokens_ - rate / 2);
  job_end_tokens_ -= surplus;
  tokens_ = std::min(rate, tokens_ + refill + surplus);
  while (!(urgent_queue_.empty() && normal_queue_.empty()) &&
         batches_in_flight_ < 1 && context_->now >= next_send_at_ &&
         tokens_ >= 1)
    SendBatch();
}

std::vector<StateWriter::Entry> StateWriter::TakeBatch() {
  const size_t max_entries =
      std::min(static_cast<size_t>(limits_->max_mutations()),
               static_cast<size_t>(std::max(1.0, tokens_)));
  std::vector<Entry> batch;
  size_t bytes = 0;
  while (!(urgent_queue_.empty() && normal_queue_.empty()) &&
         batch.size() < max_entries) {
    auto& queue = urgent_queue_.empty() ? normal_queue_ : urgent_queue_;
    const std::string key = queue.front();
    auto pending = pending_.find(key);
    const bool send_alone =
        pending->second.send_alone && !uncertain_keys_.count(key);
    const size_t entry_bytes = EncodedBytes(pending->second.mutation);
    const bool fits = bytes + entry_bytes <= kMaxTransactionBytes;
    if ((send_alone || !fits) && !batch.empty()) break;
    queue.pop_front();
    if (uncertain_keys_.count(key)) {
      ReadVersion(key);
      continue;
    }
    bytes += entry_bytes;
    batch.push_back(std::move(pending->second));
    pending_.erase(pending);
    if (send_alone) break;
  }
  return batch;
}

void StateWriter::SendBatch() {
  std::vector<Entry> batch = TakeBatch();
  if (batch.empty()) return;
  std::vector<Mutation> mutations;
  std::vector<Precondition> preconditions;
  for (const Entry& entry : batch) {
    const auto version = versions_.find(entry.mutation.key);
    preconditions.push_back(
        {entry.mutation.key, version == versions_.end() ? 0 : version->second});
    mutations.push_back(entry.mutation);
  }
  ++batches_in_flight_;
  Commit(std::move(preconditions), std::move(mutations),
         [this, batch = std::move(batch)](const StateResult& result) {
           --batches_in_flight_;
           OnBatchResult(batch, result);
         });
}

void StateWriter::OnBatchResult(std::vector<Entry> batch,
                                const StateResult& result) {
  const bool too_large = result.refusal == StateRefusal::kTooLarge;
  if (result.outcome != Outcome::kOk && !too_large)
    next_send_at_ = context_->now + kWriteRetryS;
  const bool in_a_batch = batch.size() > 1;
  for (Entry& entry : batch) {
    const std::string key = entry.mutation.key;
    if (result.outcome == Outcome::kOk) {
      if (entry.mutation.remove)
        versions_.erase(key);
      else
        versions_[key] = result.revision;
      if (entry.options.on_written) entry.options.on_written();
    } else if (too_large) {
      OnTooLarge(std::move(entry), in_a_batch);
    } else {
      // The write may have been committed, or a late copy of an earlier write
      // was: the key is read before the next write.
      if (result.outcome != Outcome::kRefused) uncertain_keys_.insert(key);
      Requeue(key, std::move(entry));
    }
  }
}

void StateWriter::OnTooLarge(Entry&& entry, bool in_a_batch) {
  const std::string key = entry.mutation.key;
  if (in_a_batch) {
    entry.send_alone = true;
    Requeue(key, std::move(entry));
    return;
  }
  context_->Error("value exceeds the state service's size limit",
                  {{"key", key}, {"bytes", entry.mutation.value.size()}});
  if (entry.options.on_too_large) entry.options.on_too_large();
}

void StateWriter::Requeue(const std::string& key, Entry&& entry) {
  const bool urgent = entry.options.urgent;
  if (pending_.try_emplace(key, std::move(entry)).second) Enqueue(key, urgent);
}

void StateWriter::ReadVersion(const std::string& key) {
  context_->GetKey(
      StateConnection::kLeader, key,
      [this, key, generation = generation_](const StateResult& result) {
        if (generation != generation_) return;
        if (result.outcome == Outcome::kOk && !result.items.empty()) {
          versions_[key] = result.items[0].version;
          uncertain_keys_.erase(key);
        } else if (result.outcome == Outcome::kConflict) {  // no such key
          versions_.erase(key);
          uncertain_keys_.erase(key);
        } else {
          next_send_at_ = context_->now + kWriteRetryS;
        }
        if (auto pending = pending_.find(key); pending != pending_.end())
          Enqueue(key, pending->second.options.urgent);
      });
}

void StateWriter::Clear() {
  pending_.clear();
  urgent_queue_.clear();
  normal_queue_.clear();
  versions_.clear();
  uncertain_keys_.clear();
  batches_in_flight_ = 0;
  ++generation_;
}

}  // namespace sorrelwood
