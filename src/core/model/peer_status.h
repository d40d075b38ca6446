// The status that each controller sends to the others every
// kPeerStatusIntervalS.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/model/job.h"

namespace sorrelwood {

struct PeerStatus {
  std::string node;
  uint64_t incarnation = 0;  // of the process
  uint64_t sequence = 0;     // number of the message in this incarnation
  uint64_t term = 0;         // the highest known to the sender
  bool leader = false;       // the sender leads
  // Time since the state service last served the sender.
  uint32_t state_served_ago_ms = 0;
  // Only from the leader: jobs whose counts have changed, and all of them in
  // one of kMessagesPerFullPeerStatus messages.
  std::vector<JobCounts> jobs;
};

}  // namespace sorrelwood
