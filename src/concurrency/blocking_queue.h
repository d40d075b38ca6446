// A thread-safe queue whose readers wait for items.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <utility>

namespace sorrelwood {

// Has no size limit: the core bounds its requests in flight, and so the items
// in the queue.
template <typename Item>
class BlockingQueue {
 public:
  void Push(Item item) {
    std::lock_guard lock(mutex_);
    items_.push_back(std::move(item));
    item_pushed_.notify_one();
  }

  // Removes and returns the oldest item; waits until there is one.
  Item Pop() {
    std::unique_lock lock(mutex_);
    item_pushed_.wait(lock, [this] { return !items_.empty(); });
    Item item = std::move(items_.front());
    items_.pop_front();
    return item;
  }

 private:
  std::mutex mutex_;
  std::condition_variable item_pushed_;
  std::deque<Item> items_;
};

}  // namespace sorrelwood
