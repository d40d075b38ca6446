// The commands of one message to a worker, within the protocol's bound of a
// line.
#pragma once

#include <cstddef>
#include <vector>

#include "core/model/heartbeat.h"

namespace sorrelwood {

class CommandBatch {
 public:
  // Adds the command if the message then stays within
  // protocol::kCommandsCapacityBytes. Otherwise returns false and leaves the
  // batch as it is.
  bool Add(const Command& command);
  // Returns the commands in the order in which they were added.
  std::vector<Command> Take();

 private:
  std::vector<Command> commands_;
  size_t bytes_ = 0;  // at most, once encoded
};

}  // namespace sorrelwood
