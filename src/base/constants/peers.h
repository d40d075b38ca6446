// Constants of messages between controllers.
#pragma once

#include <cstddef>
#include <cstdint>

namespace sorrelwood {

// How often a node sends its status to the other controllers.
inline constexpr double kPeerStatusIntervalS = 1.0;

// One of this many status messages of the leader carries the counts of all
// jobs, not only of changed ones, since messages may be lost.
inline constexpr uint64_t kMessagesPerFullPeerStatus = 10;

// Largest message between controllers that is read.
inline constexpr size_t kMaxPeerMessageBytes = size_t{1} << 20;

// The counts of jobs in one message take at most this much.
inline constexpr size_t kMaxPeerCountsBytes = kMaxPeerMessageBytes / 2;

// Upper bound of the size of one job's counts without its id: two words, and
// the id's end and padding.
inline constexpr size_t kPeerCountsOverheadBytes = 24;

// Largest reported time since the state service last answered a node.
inline constexpr double kMaxServedAgoMs = 1e6;

}  // namespace sorrelwood
