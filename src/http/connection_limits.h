// Who connects to the server, and how much of it each may use.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <string>

namespace sorrelwood {

// Each kind has a share of its own of connections and threads, so that none
// shuts out another. Probes, and clients that have not sent a request yet, have
// what the shares of the others leave.
enum class ClientKind { kWorker, kUser, kOther };
inline constexpr size_t kClientKinds = 3;

template <typename Value>
using PerClientKind = std::array<Value, kClientKinds>;

inline size_t IndexOf(ClientKind kind) { return static_cast<size_t>(kind); }

// Tells the kind of a client by the path of its first request.
using ClientClassifier = std::function<ClientKind(const std::string& path)>;

struct ConnectionLimits {
  size_t total = 0;           // open connections of all kinds
  size_t workers = 0;         // open connections of workers
  size_t users = 0;           // open connections of users
  double worker_idle_s = 0;   // a worker that is quiet for so long is gone
  double worker_stale_s = 0;  // and for so long makes room for another
  size_t threads = 0;         // that read and answer requests
};

}  // namespace sorrelwood
