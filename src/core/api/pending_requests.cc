#include "core/api/pending_requests.h"

#include <utility>
#include <vector>

#include "base/constants.h"
#include "protocol/client_codec.h"

namespace sorrelwood {

bool PendingRequests::Admit(uint64_t request, RequestKind kind) {
  const bool poll = kind == RequestKind::kPoll;
  const size_t waiting =
      poll ? pending_polls_ : pending_.size() - pending_polls_;
  const size_t most = poll ? kMaxWaitingPolls : kMaxWaitingChanges;
  const double timeout_s = poll ? kPollTimeoutS : kSubmitTimeoutS;
  pending_[request] = {kind, context_->now + timeout_s};
  if (poll) ++pending_polls_;
  if (waiting < most) return true;
  AnswerOverloaded(request, "too many requests are waiting");
  return false;
}

void PendingRequests::Answer(uint64_t request, int status, std::string body,
                             double retry_after_s) {
  const auto pending = pending_.find(request);
  if (pending == pending_.end()) return;  // answered already
  if (pending->second.kind == RequestKind::kPoll) --pending_polls_;
  pending_.erase(pending);
  context_->actions.push_back(
      ClientResponse{request, status, std::move(body), retry_after_s});
}

void PendingRequests::AnswerOverloaded(uint64_t request,
                                       const std::string& why) {
  Answer(request, 429, protocol::EncodeError(why), kOverloadedRetryAfterS);
}

void PendingRequests::AnswerUnavailable(uint64_t request,
                                        const std::string& why) {
  Answer(request, 503, protocol::EncodeError(why), kUnavailableRetryAfterS);
}

void PendingRequests::AnswerNoState(uint64_t request) {
  AnswerUnavailable(request, "the state service does not answer");
}

void PendingRequests::ExpireOverdue() {
  std::vector<uint64_t> overdue;
  for (const auto& [request, pending] : pending_)
    if (context_->now > pending.expires_at) overdue.push_back(request);
  for (const uint64_t request : overdue) AnswerNoState(request);
}

}  // namespace sorrelwood
