// The leader key as a controller last saw it.
#pragma once

#include <cstdint>

#include "core/model/stored_records.h"

namespace sorrelwood {

class LeaderKey {
 public:
  // Whether the key was ever read.
  bool known() const { return known_; }
  // 0: the key is absent, so there is no leader.
  uint64_t version() const { return version_; }
  const LeaderRecord& record() const { return record_; }

  // Called after the key was read or changed, as of `revision` of the state
  // service. Older news than the latest are ignored. `version` is 0 if the key
  // is absent.
  void Apply(uint64_t version, const LeaderRecord& record, uint64_t revision);
  void ApplyAbsence(uint64_t revision) {
    Apply(/*version=*/0, LeaderRecord(), revision);
  }

 private:
  bool known_ = false;
  uint64_t version_ = 0;
  uint64_t revision_ = 0;  // of the latest news
  LeaderRecord record_;
};

}  // namespace sorrelwood
