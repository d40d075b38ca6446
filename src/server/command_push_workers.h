// Threads that push commands to workers whose heartbeats are overdue.
#pragma once

#include <cstddef>

#include "concurrency/blocking_queue.h"
#include "core/engine/actions.h"
#include "server/input_queue.h"

namespace sorrelwood {

class CommandPushWorkers {
 public:
  // Results are pushed to `inputs`.
  explicit CommandPushWorkers(InputQueue* inputs) : inputs_(inputs) {}

  // The threads run until the process ends.
  void Start(size_t threads);
  // Queues commands for any of the threads.
  void Send(PushedCommands commands) { commands_.Push(std::move(commands)); }

 private:
  InputQueue* const inputs_;
  BlockingQueue<PushedCommands> commands_;
};

}  // namespace sorrelwood
