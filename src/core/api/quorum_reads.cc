#include "core/api/quorum_reads.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "base/constants.h"
#include "core/coordination/keys.h"

namespace sorrelwood {

QuorumReads::QuorumReads(Context* context, JobCache* job_cache,
                         const StateLimitTracker* limits,
                         PendingRequests* pending, JobResponses* responses,
                         const ClusterSettings* settings)
    : context_(context),
      job_cache_(job_cache),
      limits_(limits),
      pending_(pending),
      responses_(responses),
      interval_s_(std::max(
          kQuorumReadBatchS,
          static_cast<double>(settings->peers.size() + 1) /
              (settings->state_requests_per_s * kQuorumReadRateShare))) {}

void QuorumReads::Add(uint64_t request, const std::string& id) {
  if (waiting_.empty()) next_send_at_ = context_->now + interval_s_;
  waiting_.push_back({request, id});
}

void QuorumReads::Tick() {
  if (!waiting_.empty() && context_->now >= next_send_at_ &&
      in_flight_ < kMaxQuorumReadsInFlight)
    Send();
}

QuorumReads::Batch QuorumReads::TakeBatch() {
  const size_t most = limits_->max_preconditions();
  Batch batch;
  std::set<std::string> included;
  std::vector<WaitingPoll> rest;
  for (WaitingPoll& poll : waiting_) {
    const CachedJob* known = job_cache_->FindLive(poll.id);
    if (!known) {  // it has ended since the poll came: that is final
      responses_->AnswerFromCache(poll.request, poll.id);
      continue;
    }
    if (!included.count(poll.id)) {
      if (batch.preconditions.size() >= most) {
        rest.push_back(std::move(poll));
        continue;
      }
      included.insert(poll.id);
      batch.preconditions.push_back({keys::Live(poll.id), known->version});
    }
    batch.polls.push_back(std::move(poll));
  }
  waiting_ = std::move(rest);
  return batch;
}

// A transaction of preconditions alone, sent after the polls arrived, shows
// which of their jobs are still live.
void QuorumReads::Send() {
  Batch batch = TakeBatch();
  next_send_at_ = context_->now + interval_s_;
  if (batch.preconditions.empty()) return;
  ++in_flight_;
  context_->Transact(
      StateConnection::kPoll, std::move(batch.preconditions), {},
      [this, polls = std::move(batch.polls)](const StateResult& result) {
        --in_flight_;
        OnResult(polls, result);
      });
}

void QuorumReads::OnResult(const std::vector<WaitingPoll>& polls,
                           const StateResult& result) {
  const std::set<std::string> failed(result.failed_preconditions.begin(),
                                     result.failed_preconditions.end());
  const bool conflict = result.outcome == Outcome::kConflict;
  std::map<std::string, std::vector<uint64_t>> ended;  // requests by job
  for (const WaitingPoll& poll : polls) {
    const bool still_live =
        result.outcome == Outcome::kOk ||
        (conflict && !failed.empty() && !failed.count(keys::Live(poll.id)));
    if (still_live)
      responses_->AnswerFromCache(poll.request, poll.id);
    else if (conflict)
      ended[poll.id].push_back(poll.request);
    else
      pending_->AnswerNoState(poll.request);
  }
  for (auto& [id, requests] : ended)
    responses_->AnswerEnded(StateConnection::kPoll, std::move(requests), id);
}

}  // namespace sorrelwood
