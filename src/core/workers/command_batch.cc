#include "core/workers/command_batch.h"

#include <utility>

#include "protocol/worker_message_size.h"

namespace sorrelwood {

bool CommandBatch::Add(const Command& command) {
  const size_t bytes = protocol::MaxCommandBytes(command);
  if (bytes_ + bytes > protocol::kCommandsCapacityBytes) return false;
  bytes_ += bytes;
  commands_.push_back(command);
  return true;
}

std::vector<Command> CommandBatch::Take() {
  bytes_ = 0;
  return std::exchange(commands_, {});
}

}  // namespace sorrelwood
