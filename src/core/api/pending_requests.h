// Tracks the users' requests that have not been answered yet, and limits their
// number and their waiting time.
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

  // Admits the request, or answers it with 429 and returns false if too many
  // requests of its kind are pending (load shedding). Polls and mutations have
  // separate limits, so that many polls cannot block submissions.
  bool Admit(uint64_t request, RequestKind kind);

  // Answers the request, unless it has been answered before. A `retry_after_s`
  // of 0 means that the answer carries no Retry-After header.
  void Answer(uint64_t request, int status, std::string body,
              double retry_after_s = 0);
  // Answers 429: the user should retry when the load is lower.
  void AnswerOverloaded(uint64_t request, const std::string& reason);
  // Answers 503: the outcome is unknown, or the cluster cannot answer now.
  void AnswerUnavailable(uint64_t request, const std::string& reason);
  // Answers 503 because the state service has not answered.
  void AnswerStateUnavailable(uint64_t request);

  // Answers requests that have waited too long for the state service (503),
  // before the users' own timeouts expire.
  void ExpireOverdue();

 private:
  struct Pending {
    RequestKind kind = RequestKind::kPoll;
    double expires_at = 0;  // steady clock, s
  };

  Context* context_;
  std::map<uint64_t, Pending> pending_;  // by request number
  size_t pending_polls_ = 0;
};

}  // namespace sorrelwood
