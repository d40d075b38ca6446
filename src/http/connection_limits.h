// The kinds of clients that connect to the server, and the limits of each.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <string>

namespace sorrelwood {

// Each kind has its own share of connections and threads, so that no kind can
// starve another. kOther stands for probes and for clients whose first request
// has not been read yet; they use what the other shares leave.
enum class ClientKind { kWorker, kUser, kOther };
inline constexpr size_t kClientKinds = 3;

template <typename Value>
using PerClientKind = std::array<Value, kClientKinds>;

inline size_t IndexOf(ClientKind kind) { return static_cast<size_t>(kind); }

// Returns the kind of a client, given the path of its first request.
using ClientClassifier = std::function<ClientKind(const std::string& path)>;

struct ConnectionLimits {
  size_t total = 0;    // open connections of all kinds
  size_t workers = 0;  // open connections of workers
  size_t users = 0;    // open connections of users
  // A worker's connection without requests is closed after this time (s).
  double worker_idle_timeout_s = 0;
  // After this time (s) without requests it may be closed to admit another
  // worker when all of the workers' connections are in use.
  double worker_evictable_after_s = 0;
  size_t threads = 0;  // threads that read and answer requests
};

}  // namespace sorrelwood
