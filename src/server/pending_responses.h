// Requests that wait for the core's response, each with a thread of its own.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace sorrelwood {

// What the core answers to a request.
struct CoreResponse {
  int status = 503;  // of HTTP
  std::string body;
  double retry_after_s = 0;  // 0: no such header
};

class PendingResponses {
 public:
  // The identifier of a new request; Wait must follow.
  uint64_t Open();
  // Waits for the response and forgets the request; nothing after `timeout_s`.
  std::optional<CoreResponse> Wait(uint64_t request, double timeout_s);
  // Dropped when nobody waits for it any more.
  void Complete(uint64_t request, CoreResponse response);

 private:
  struct Pending {
    std::condition_variable completed;
    std::optional<CoreResponse> response;
  };

  std::mutex mutex_;
  std::map<uint64_t, Pending> pending_;
  uint64_t next_request_ = 1;
};

}  // namespace sorrelwood
