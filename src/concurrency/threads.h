// Detached threads with small stacks that live as long as the process.
#pragma once

#include <pthread.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>

#include "base/constants.h"

namespace sorrelwood {

inline bool StartThread(const char* name, std::function<void()> work) {
  auto* owned = new std::function<void()>(std::move(work));
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, kThreadStackBytes);
  pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
  pthread_t thread;
  const int error = pthread_create(
      &thread, &attributes,
      [](void* argument) -> void* {
        std::unique_ptr<std::function<void()>> run(
            static_cast<std::function<void()>*>(argument));
        (*run)();
        return nullptr;
      },
      owned);
  pthread_attr_destroy(&attributes);
  if (error != 0) {
    delete owned;
    return false;
  }
  pthread_setname_np(thread, name);
  return true;
}

// A queue that threads wait on. Bounded by what the core has under way.
template <typename Item>
class WaitQueue {
 public:
  void Push(Item item) {
    std::lock_guard lock(mutex_);
    items_.push_back(std::move(item));
    ready_.notify_one();
  }
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
