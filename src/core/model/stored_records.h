// Records in the state service. Their encodings must stay readable to earlier
// and later versions: tests/stored_forms_test.cc holds the bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/model/job.h"

namespace sorrelwood {

// An unfinished job.
struct LiveJob {
  JobSpec spec;
  double submitted_wall_s = 0;  // time of day, s since the epoch
};

// Who leads, and in which term.
struct LeaderRecord {
  std::string node;
  uint64_t term = 0;
};

// A request to the cloud for machines, written before the call is made.
struct ProvisioningRecord {
  std::string name, type, zone;
  bool spot = false;
  int count = 0;
  bool answered = false;              // the cloud has named the machines
  std::vector<std::string> machines;  // their names
};

// A machine that tasks may be placed on.
struct MachineRecord {
  std::string name, type, zone, address;
  bool spot = false;
};

// Which tasks of a job are done, from `first_task` on, as hexadecimal digits of
// four tasks each. `first_task` is absent where the key tells it.
struct CompletionRecord {
  std::optional<uint32_t> first_task;
  std::string bits_hex;
};

}  // namespace sorrelwood
