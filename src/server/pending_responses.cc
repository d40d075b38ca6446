#include "server/pending_responses.h"

#include <chrono>
#include <utility>

namespace sorrelwood {

uint64_t PendingResponses::Register() {
  std::lock_guard lock(mutex_);
  const uint64_t request = next_request_++;
  pending_.try_emplace(request);
  return request;
}

std::optional<CoreResponse> PendingResponses::Wait(uint64_t request,
                                                   double timeout_s) {
  std::unique_lock lock(mutex_);
  const auto entry = pending_.find(request);
  if (entry == pending_.end()) return std::nullopt;
  Pending& pending = entry->second;
  pending.completed.wait_for(lock, std::chrono::duration<double>(timeout_s),
                             [&] { return pending.response.has_value(); });
  std::optional<CoreResponse> response = std::move(pending.response);
  pending_.erase(entry);
  return response;
}

void PendingResponses::Complete(uint64_t request, CoreResponse response) {
  std::lock_guard lock(mutex_);
  const auto entry = pending_.find(request);
  if (entry == pending_.end()) return;
  entry->second.response = std::move(response);
  entry->second.completed.notify_one();
}

}  // namespace sorrelwood
