// Starts detached threads with small stacks. The objects that they use must
// outlive them.
#pragma once

#include <pthread.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

#include "base/constants/threads.h"

namespace sorrelwood {

// Runs `work` on a new thread called `name`, at most 15 characters, which must
// have static lifetime. Returns false without running `work` if the system
// can't start a thread.
inline bool StartThread(const char* name, std::function<void()> work,
                        size_t stack_bytes = kThreadStackBytes) {
  struct ThreadArgument {
    const char* name;
    std::function<void()> work;
  };
  auto thread_argument =
      std::make_unique<ThreadArgument>(ThreadArgument{name, std::move(work)});
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, stack_bytes);
  pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
  pthread_t thread;
  const int error = pthread_create(
      &thread, &attributes,
      [](void* argument) -> void* {
        const std::unique_ptr<ThreadArgument> owned(
            static_cast<ThreadArgument*>(argument));
        // The thread sets its own name, since its handle becomes invalid as
        // soon as it ends.
        pthread_setname_np(pthread_self(), owned->name);
        owned->work();
        return nullptr;
      },
      thread_argument.get());
  pthread_attr_destroy(&attributes);
  if (error != 0) return false;
  // The thread owns the argument now.
  (void)thread_argument.release();
  return true;
}

}  // namespace sorrelwood
