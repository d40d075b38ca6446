#include "http/request_queue.h"

#include <algorithm>
#include <cmath>

#include "base/constants/controller_capacity.h"

namespace sorrelwood {
namespace {

double ThreadShare(ClientKind kind) {
  switch (kind) {
    case ClientKind::kWorker: return kWorkerThreadShare;
    case ClientKind::kUser: return kUserThreadShare;
    case ClientKind::kOther: return 1 - kWorkerThreadShare - kUserThreadShare;
  }
  return 0;
}

}  // namespace

void RequestQueue::Push(Connection* connection) {
  queued_[IndexOf(connection->kind)].push_back(connection);
}

Connection* RequestQueue::Pop() {
  // Probes and first requests, whose kind is not known yet, have precedence.
  // Workers precede users, so that heartbeats don't wait for users' requests.
  for (const ClientKind kind :
       {ClientKind::kOther, ClientKind::kWorker, ClientKind::kUser}) {
    auto& queue = queued_[IndexOf(kind)];
    if (queue.empty() || !HasFreeThread(kind)) continue;
    Connection* connection = queue.front();
    queue.pop_front();
    ++in_progress_[IndexOf(kind)];
    return connection;
  }
  return nullptr;
}

void RequestQueue::Reclassify(ClientKind from, ClientKind to) {
  --in_progress_[IndexOf(from)];
  ++in_progress_[IndexOf(to)];
}

bool RequestQueue::HasFreeThread(ClientKind kind) const {
  return in_progress_[IndexOf(kind)] < MaxThreads(kind);
}

size_t RequestQueue::size() const {
  size_t total = 0;
  for (const auto& queue : queued_) total += queue.size();
  return total;
}

std::vector<Connection*> RequestQueue::TakeAll() {
  std::vector<Connection*> connections;
  for (auto& queue : queued_) {
    connections.insert(connections.end(), queue.begin(), queue.end());
    queue.clear();
  }
  return connections;
}

size_t RequestQueue::MaxThreads(ClientKind kind) const {
  const double threads = static_cast<double>(threads_) * ThreadShare(kind);
  return static_cast<size_t>(std::max(1L, std::lround(threads)));
}

}  // namespace sorrelwood
