// The HTTP status codes that have a specific meaning in the published protocol.
#pragma once

namespace sorrelwood::protocol::status {

inline constexpr int kOk = 200;
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
inline constexpr int kConflict = 409;  // a precondition did not hold
inline constexpr int kGone = 410;      // changes after the revision are gone
inline constexpr int kMisdirectedRequest = 421;  // another node is the leader
inline constexpr int kTooManyRequests = 429;
inline constexpr int kServiceUnavailable = 503;

}  // namespace sorrelwood::protocol::status
