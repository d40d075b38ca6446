// Counts the log lines of the controllers by level and hashes their texts,
// separately from the digest of the other actions: a change that rewords log
// lines can show that their number is unchanged.
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

  // Adds an event that controller `node` logged.
  void Add(int node, const LogEvent& event);
  const Counts& counts() const { return counts_; }
  uint64_t text_digest() const { return texts_.value(); }

 private:
  Counts counts_;
  FnvHash texts_;
};

}  // namespace sorrelwood::test
