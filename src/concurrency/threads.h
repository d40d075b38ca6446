// Detached threads with small stacks. Their owner must live until they end.
#pragma once

#include <pthread.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

#include "base/constants.h"

namespace sorrelwood {

// Runs `work` in a thread called `name` (15 characters at most). False when the
// system has no thread left; `work` is then not run.
inline bool StartThread(const char* name, std::function<void()> work,
                        size_t stack_bytes = kThreadStackBytes) {
  struct Start {
    const char* name;
    std::function<void()> work;
  };
  auto start = std::make_unique<Start>(Start{name, std::move(work)});
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, stack_bytes);
  pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
  pthread_t thread;
  const int error = pthread_create(
      &thread, &attributes,
      [](void* argument) -> void* {
        const std::unique_ptr<Start> owned(static_cast<Start*>(argument));
        // By the thread itself: its handle is not valid once it has ended.
        pthread_setname_np(pthread_self(), owned->name);
        owned->work();
        return nullptr;
      },
      start.get());
  pthread_attr_destroy(&attributes);
  if (error != 0) return false;
  // The thread owns it now.
  (void)start.release();
  return true;
}

}  // namespace sorrelwood
