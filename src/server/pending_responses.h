// The HTTP requests that wait for the core's response, each on its own thread.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace sorrelwood {

// The core's response to a request.
struct CoreResponse {
  int status = 503;  // HTTP status
  std::string body;
  double retry_after_s = 0;  // 0: no Retry-After header
};

class PendingResponses {
 public:
  // Registers a new request and returns its identifier. The caller must call
  // Wait for it.
  uint64_t Register();
  // Waits for the response and removes the request; empty on timeout.
  std::optional<CoreResponse> Wait(uint64_t request, double timeout_s);
  // Passes the response to the thread that waits for it. The response is
  // dropped if that wait has timed out.
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
