#include "http/request_queue.h"

#include <algorithm>
#include <cmath>

#include "base/constants.h"

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
  // Probes and first requests, whose sender is not known yet, come first;
  // workers don't wait behind users.
  for (const ClientKind kind :
       {ClientKind::kOther, ClientKind::kWorker, ClientKind::kUser}) {
    auto& queue = queued_[IndexOf(kind)];
    if (queue.empty() || !HasThread(kind)) continue;
    Connection* connection = queue.front();
    queue.pop_front();
    ++in_hand_[IndexOf(kind)];
    return connection;
  }
  return nullptr;
}

void RequestQueue::Reclassify(ClientKind from, ClientKind to) {
  --in_hand_[IndexOf(from)];
  ++in_hand_[IndexOf(to)];
}

bool RequestQueue::HasThread(ClientKind kind) const {
  return in_hand_[IndexOf(kind)] < MaxThreads(kind);
}

size_t RequestQueue::size() const {
  size_t size = 0;
  for (const auto& queue : queued_) size += queue.size();
  return size;
}

std::vector<Connection*> RequestQueue::TakeAll() {
  std::vector<Connection*> all;
  for (auto& queue : queued_) {
    all.insert(all.end(), queue.begin(), queue.end());
    queue.clear();
  }
  return all;
}

size_t RequestQueue::MaxThreads(ClientKind kind) const {
  const double threads = static_cast<double>(threads_) * ThreadShare(kind);
  return static_cast<size_t>(std::max(1L, std::lround(threads)));
}

}  // namespace sorrelwood
