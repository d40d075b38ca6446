#include "core/api/quorum_reads.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "base/constants/user_requests.h"
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

void QuorumReads::AddPoll(uint64_t request, const std::string& id) {
  if (pending_polls_.empty()) next_send_at_ = context_->now + interval_s_;
  pending_polls_.push_back({request, id});
}

void QuorumReads::Tick() {
  if (!pending_polls_.empty() && context_->now >= next_send_at_ &&
      reads_in_flight_ < kMaxQuorumReadsInFlight)
    SendBatch();
}

QuorumReads::Batch QuorumReads::TakeBatch() {
  const size_t max_jobs = limits_->max_preconditions();
  Batch batch;
  std::set<std::string> included_job_ids;
  std::vector<PendingPoll> deferred;
  for (PendingPoll& poll : pending_polls_) {
    const CachedJob* cached_job = job_cache_->FindLiveJob(poll.id);
    if (!cached_job) {  // ended since the poll arrived
      AnswerEndedJob(poll);
      continue;
    }
    if (!included_job_ids.count(poll.id)) {
      if (batch.preconditions.size() >= max_jobs) {
        deferred.push_back(std::move(poll));
        continue;
      }
      included_job_ids.insert(poll.id);
      batch.preconditions.push_back(
          {keys::ForLiveJob(poll.id), cached_job->version});
    }
    batch.polls.push_back(std::move(poll));
  }
  pending_polls_ = std::move(deferred);
  return batch;
}

void QuorumReads::AnswerEndedJob(const PendingPoll& poll) {
  if (job_cache_->FindFinalState(poll.id))
    responses_->AnswerFromCache(poll.request, poll.id);
  else
    responses_->AnswerEndedJob(StateConnection::kPoll, {poll.request}, poll.id);
}

// A transaction of preconditions alone, sent after the polls arrived, shows
// which of their jobs are still live.
void QuorumReads::SendBatch() {
  Batch batch = TakeBatch();
  next_send_at_ = context_->now + interval_s_;
  if (batch.preconditions.empty()) return;
  ++reads_in_flight_;
  context_->Transact(
      StateConnection::kPoll, std::move(batch.preconditions), {},
      [this, polls = std::move(batch.polls)](const StateResult& result) {
        --reads_in_flight_;
        OnBatchResult(polls, result);
      });
}

void QuorumReads::OnBatchResult(const std::vector<PendingPoll>& polls,
                                const StateResult& result) {
  const std::set<std::string> failed_keys(result.failed_preconditions.begin(),
                                          result.failed_preconditions.end());
  const bool has_conflict = result.outcome == Outcome::kConflict;
  // Requests by the id of a job that has ended.
  std::map<std::string, std::vector<uint64_t>> ended_jobs;
  for (const PendingPoll& poll : polls) {
    // A conflict without failed keys does not show which jobs have ended, so
    // the final state of each job is read.
    const bool is_still_live = result.outcome == Outcome::kOk ||
                               (has_conflict && !failed_keys.empty() &&
                                !failed_keys.count(keys::ForLiveJob(poll.id)));
    if (is_still_live && job_cache_->Contains(poll.id))
      responses_->AnswerFromCache(poll.request, poll.id);
    else if (is_still_live || has_conflict)
      ended_jobs[poll.id].push_back(poll.request);
    else
      pending_->AnswerStateUnavailable(poll.request);
  }
  for (auto& [id, requests] : ended_jobs)
    responses_->AnswerEndedJob(StateConnection::kPoll, std::move(requests), id);
}

}  // namespace sorrelwood
