// Users' requests that have not been answered: how many may wait, and for how
// long.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/engine/context.h"

namespace sorrelwood {

enum class RequestKind {
  kPoll,
  kMutation,  // a submission or a cancellation
};

class PendingRequests {
 public:
  // `context` must outlive this object.
  explicit PendingRequests(Context* context) : context_(context) {}

  // Load shedding: false if too many requests of the kind wait already; the
  // request has been answered (429) then. Polls and mutations are counted
  // apart. Prevents a storm of polls from keeping submissions out.
  bool Admit(uint64_t request, RequestKind kind);

  // Answers the request, unless it has been answered before.
  void Answer(uint64_t request, int status, std::string body,
              double retry_after_s = 0);
  // 429: the user is to come back when there is less to do.
  void AnswerOverloaded(uint64_t request, const std::string& why);
  // 503: the outcome is not known, or the cluster cannot answer now.
  void AnswerUnavailable(uint64_t request, const std::string& why);
  // The same, because the state service has not answered.
  void AnswerNoState(uint64_t request);

  // Answers those that have waited for the state service too long (503).
  // Prevents users from giving up without an answer.
  void ExpireOverdue();

 private:
  struct Pending {
    RequestKind kind = RequestKind::kPoll;
    double expires_at = 0;  // steady clock, s
  };

  Context* context_;
  std::map<uint64_t, Pending> pending_;  // by request
  size_t pending_polls_ = 0;
};

}  // namespace sorrelwood
