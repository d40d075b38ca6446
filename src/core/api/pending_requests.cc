#include "core/api/pending_requests.h"

#include <utility>
#include <vector>

#include "base/constants/user_requests.h"
#include "protocol/client_codec.h"

namespace sorrelwood {

bool PendingRequests::Admit(uint64_t request, RequestKind kind) {
  const bool is_poll = kind == RequestKind::kPoll;
  const size_t pending_of_kind =
      is_poll ? pending_polls_ : pending_.size() - pending_polls_;
  const size_t max_pending = is_poll ? kMaxWaitingPolls : kMaxWaitingChanges;
  const double timeout_s = is_poll ? kPollTimeoutS : kSubmitTimeoutS;
  // Added even if it is refused, since Answer() ignores unknown requests.
  pending_[request] = {kind, context_->now + timeout_s};
  if (is_poll) ++pending_polls_;
  if (pending_of_kind < max_pending) return true;
  AnswerOverloaded(request, "too many requests are waiting");
  return false;
}

void PendingRequests::Answer(uint64_t request, int status, std::string body,
                             double retry_after_s) {
  const auto pending = pending_.find(request);
  if (pending == pending_.end()) return;  // already answered
  if (pending->second.kind == RequestKind::kPoll) --pending_polls_;
  pending_.erase(pending);
  context_->actions.push_back(
      ClientResponse{request, status, std::move(body), retry_after_s});
}

void PendingRequests::AnswerOverloaded(uint64_t request,
                                       const std::string& reason) {
  Answer(request, 429, protocol::EncodeError(reason),
         kTooManyRequestsRetryAfterS);
}

void PendingRequests::AnswerUnavailable(uint64_t request,
                                        const std::string& reason) {
  Answer(request, 503, protocol::EncodeError(reason), kUnavailableRetryAfterS);
}

void PendingRequests::AnswerStateUnavailable(uint64_t request) {
  AnswerUnavailable(request, "the state service does not answer");
}

void PendingRequests::ExpireOverdue() {
  std::vector<uint64_t> overdue;
  for (const auto& [request, pending] : pending_)
    if (context_->now > pending.expires_at) overdue.push_back(request);
  for (const uint64_t request : overdue) AnswerStateUnavailable(request);
}

}  // namespace sorrelwood
