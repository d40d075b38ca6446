#include "loopback/request_rules.h"

#include <algorithm>
#include <chrono>

namespace sorrelwood::test {
namespace {

constexpr auto kMaxHold = std::chrono::seconds(10);

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

void RequestRules::HoldNext(const std::string& target, HoldPoint point) {
  std::lock_guard lock(mutex_);
  holds_.push_back({target, point, false});
}

bool RequestRules::IsHeld(const std::string& target) const {
  std::lock_guard lock(mutex_);
  return std::any_of(holds_.begin(), holds_.end(), [&](const Hold& hold) {
    return hold.target == target && hold.held;
  });
}

void RequestRules::Release(const std::string& target) {
  std::lock_guard lock(mutex_);
  holds_.remove_if([&](const Hold& hold) { return hold.target == target; });
  released_.notify_all();
}

void RequestRules::Refuse(const std::string& target) {
  std::lock_guard lock(mutex_);
  refused_.push_back(target);
}

size_t RequestRules::CountExecuted(const std::string& target) const {
  std::lock_guard lock(mutex_);
  return static_cast<size_t>(std::count_if(
      executed_.begin(), executed_.end(),
      [&](const std::string& done) { return StartsWith(done, target); }));
}

bool RequestRules::BeforeExecution(const std::string& target) {
  std::unique_lock lock(mutex_);
  for (const std::string& refused : refused_)
    if (StartsWith(target, refused)) return false;
  WaitWhileHeld(lock, target, HoldPoint::kBeforeExecution);
  return true;
}

void RequestRules::BeforeAnswer(const std::string& target) {
  std::unique_lock lock(mutex_);
  executed_.push_back(target);
  WaitWhileHeld(lock, target, HoldPoint::kBeforeAnswer);
}

void RequestRules::WaitWhileHeld(std::unique_lock<std::mutex>& lock,
                                 const std::string& target, HoldPoint point) {
  const auto hold =
      std::find_if(holds_.begin(), holds_.end(), [&](const Hold& candidate) {
        return !candidate.held && candidate.point == point &&
               StartsWith(target, candidate.target);
      });
  if (hold == holds_.end()) return;
  hold->held = true;
  const Hold* own = &*hold;
  released_.wait_for(lock, kMaxHold, [&] {
    return std::none_of(holds_.begin(), holds_.end(),
                        [&](const Hold& other) { return &other == own; });
  });
}

}  // namespace sorrelwood::test
