// Where things stand in the state service.
#pragma once

#include <cstdint>
#include <string>

namespace sorrelwood::keys {

// Everything that every controller follows: the leader, live and ended jobs.
inline const std::string kWatched = "sw/w/";
inline const std::string kLeader = "sw/w/leader";
inline const std::string kLive = "sw/w/live/";
inline const std::string kFinal = "sw/w/final/";
// Only the leader reads these.
inline const std::string kTerm = "sw/term";
inline const std::string kProgress = "sw/progress/";
inline const std::string kRent = "sw/rent/";
inline const std::string kMachine = "sw/machine/";

inline std::string Live(const std::string& job) { return kLive + job; }
inline std::string Final(const std::string& job) { return kFinal + job; }
inline std::string Progress(const std::string& job, uint32_t chunk) {
  return kProgress + job + "/" + std::to_string(chunk);
}
// A part of a chunk, from task `first` on.
inline std::string ProgressPart(const std::string& job, uint32_t chunk,
                                uint32_t first) {
  return Progress(job, chunk) + "." + std::to_string(first);
}
inline std::string Rent(const std::string& name) { return kRent + name; }
inline std::string Machine(const std::string& name) { return kMachine + name; }

// The rest of `key` after `prefix`, or empty.
inline std::string After(const std::string& key, const std::string& prefix) {
  return key.compare(0, prefix.size(), prefix) == 0 ? key.substr(prefix.size())
                                                    : std::string();
}

}  // namespace sorrelwood::keys
