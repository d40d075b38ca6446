// Counts the log lines of cores by level and hashes their texts, apart from the
// digest of the other actions: a change may reword lines and still be shown to
// log as often as before.
#pragma once

#include <cstdint>

#include "core/engine/actions.h"
#include "simulation/fnv_hash.h"

namespace sorrelwood::test {

class LogSummary {
 public:
  struct Counts {
    uint64_t debug = 0, info = 0, error = 0;
  };

  // Takes in one event, as the node `node` logged it.
  void Add(int node, const LogEvent& event);
  const Counts& counts() const { return counts_; }
  uint64_t text_digest() const { return texts_.value(); }

 private:
  Counts counts_;
  FnvHash texts_;
};

}  // namespace sorrelwood::test
