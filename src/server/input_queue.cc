#include "server/input_queue.h"

#include <chrono>
#include <utility>

#include "concurrency/clocks.h"

namespace sorrelwood {

void InputQueue::Push(Input input, InputPriority priority) {
  std::lock_guard lock(mutex_);
  auto& queue =
      priority == InputPriority::kUser ? user_inputs_ : system_inputs_;
  queue.push_back(std::move(input));
  input_pushed_.notify_one();
}

bool InputQueue::IsOverloaded() {
  std::lock_guard lock(mutex_);
  return system_inputs_.size() + user_inputs_.size() > limit_;
}

Input InputQueue::Pop(double deadline) {
  std::unique_lock lock(mutex_);
  const std::chrono::duration<double> timeout(deadline - SteadyNow());
  input_pushed_.wait_for(lock, timeout, [this] { return !IsEmpty(); });
  if (IsEmpty()) return nullptr;
  auto& queue = system_inputs_.empty() ? user_inputs_ : system_inputs_;
  Input input = std::move(queue.front());
  queue.pop_front();
  return input;
}

}  // namespace sorrelwood
