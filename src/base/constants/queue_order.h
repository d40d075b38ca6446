// Constants of the order of the queue.
#pragma once

namespace sorrelwood {

// A younger job comes after others if it has missed all of its objectives, and
// after smaller jobs of its team. Beyond this age neither delays it further, so
// that no job waits forever: the longest sustained overload lasts longer.
inline constexpr double kOrderByObjectiveMaxAgeS = 300.0;

// From this age on a job of which nothing has run comes before all others: the
// operators require every job, the largest included, to start within 240 s, and
// room has to become free first.
inline constexpr double kStarvationAgeS = 120.0;

// How often the order of the queue is computed.
inline constexpr double kRankingIntervalS = 0.5;

}  // namespace sorrelwood
