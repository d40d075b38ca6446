// Records in the state service. Earlier and later versions must be able to read
// their encodings: tests/stored_forms_test.cc fixes the bytes.
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

// The current leader and its term.
struct LeaderRecord {
  std::string node;
  uint64_t term = 0;
};

// A request to the cloud for machines. It is recorded before the call, so that
// a later leader learns of machines whose provisioning was not answered.
struct ProvisioningRecord {
  std::string name, type, zone;
  bool spot = false;
  int count = 0;
  bool answered = false;  // the cloud has returned the machines' names
  std::vector<std::string> machines;  // names; empty until answered
};

// A machine that tasks may be placed on.
struct MachineRecord {
  std::string name, type, zone, address;
  bool spot = false;
};

// Which tasks of a job are done: a bit for each task from `first_task` on, as
// hexadecimal digits of four tasks each. Without `first_task` the record's key
// gives the first task.
struct CompletionRecord {
  std::optional<uint32_t> first_task;
  std::string bits_hex;
};

}  // namespace sorrelwood
