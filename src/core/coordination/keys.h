// Keys of the records in the state service.
#pragma once

#include <cstdint>
#include <string>

namespace sorrelwood::keys {

// Every controller watches these: the leader key, live jobs and final states.
inline const std::string kWatchedPrefix = "sw/w/";
inline const std::string kLeader = "sw/w/leader";
inline const std::string kLivePrefix = "sw/w/live/";
inline const std::string kFinalPrefix = "sw/w/final/";
// Only the leader reads these.
inline const std::string kTerm = "sw/term";
inline const std::string kCompletionsPrefix = "sw/progress/";
inline const std::string kProvisioningPrefix = "sw/rent/";
inline const std::string kMachinePrefix = "sw/machine/";

inline std::string ForLiveJob(const std::string& job_id) {
  return kLivePrefix + job_id;
}
inline std::string ForFinalState(const std::string& job_id) {
  return kFinalPrefix + job_id;
}
// The completed tasks of one chunk of a job, see CompletionStore.
inline std::string ForCompletions(const std::string& job_id, uint32_t chunk) {
  return kCompletionsPrefix + job_id + "/" + std::to_string(chunk);
}
// The part of a chunk that begins at task `first_task`.
inline std::string ForCompletionsPart(const std::string& job_id, uint32_t chunk,
                                      uint32_t first_task) {
  return ForCompletions(job_id, chunk) + "." + std::to_string(first_task);
}
inline std::string ForProvisioningRequest(const std::string& name) {
  return kProvisioningPrefix + name;
}
inline std::string ForMachine(const std::string& name) {
  return kMachinePrefix + name;
}

// `key` without `prefix`, or empty if the key does not begin with it.
inline std::string StripPrefix(const std::string& key,
                               const std::string& prefix) {
  return key.compare(0, prefix.size(), prefix) == 0 ? key.substr(prefix.size())
                                                    : std::string();
}

}  // namespace sorrelwood::keys
