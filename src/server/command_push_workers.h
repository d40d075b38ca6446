// Threads that push commands to workers that have not been heard of lately.
#pragma once

#include <cstddef>

#include "concurrency/blocking_queue.h"
#include "core/engine/actions.h"
#include "server/input_queue.h"

namespace sorrelwood {

class CommandPushWorkers {
 public:
  // Results go into `inputs`.
  explicit CommandPushWorkers(InputQueue* inputs) : inputs_(inputs) {}

  // The threads run for the life of the process.
  void Start(size_t threads);
  void Send(PushedCommands commands) { commands_.Push(std::move(commands)); }

 private:
  InputQueue* const inputs_;
  BlockingQueue<PushedCommands> commands_;
};

}  // namespace sorrelwood
