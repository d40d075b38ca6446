// What the controllers tell each other once a second.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/model/job.h"

namespace sorrelwood {

struct PeerStatus {
  std::string node;
  uint64_t incarnation = 0;  // of the process
  uint64_t sequence = 0;
  uint64_t term = 0;  // the highest known
  bool leader = false;
  uint32_t served_ago_ms = 0;   // since the state service last served it
  std::vector<JobCounts> jobs;  // only from the leader: what has changed
};

}  // namespace sorrelwood
