// A queue between threads, on which the reader waits.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <utility>

namespace sorrelwood {

// Has no limit of its own: what is pushed is bounded by what the core has under
// way.
template <typename Item>
class BlockingQueue {
 public:
  void Push(Item item) {
    std::lock_guard lock(mutex_);
    items_.push_back(std::move(item));
    ready_.notify_one();
  }

  // The oldest item; waits for one.
  Item Pop() {
    std::unique_lock lock(mutex_);
    ready_.wait(lock, [this] { return !items_.empty(); });
    Item item = std::move(items_.front());
    items_.pop_front();
    return item;
  }

 private:
  std::mutex mutex_;
  std::condition_variable ready_;
  std::deque<Item> items_;
};

}  // namespace sorrelwood
