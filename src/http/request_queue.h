// Connections with a request that no thread has taken yet, and how many threads
// each kind of client uses. Not synchronized; the server's mutex protects it.
#pragma once

#include <deque>
#include <vector>

#include "http/connection_table.h"

namespace sorrelwood {

// Each kind has its share of the threads: guards against users who wait for the
// state service, and clients that send half a request, taking the threads that
// workers need.
class RequestQueue {
 public:
  explicit RequestQueue(size_t threads) : threads_(threads) {}

  void Push(Connection* connection);
  // The next request of a kind that has a thread left, which is counted as used
  // until Finish; null when there is none.
  Connection* Pop();
  void Finish(ClientKind kind) { --in_hand_[IndexOf(kind)]; }
  // A request in hand turns out to be of another kind.
  void Reclassify(ClientKind from, ClientKind to);
  // False when all threads of the kind are in use.
  bool HasThread(ClientKind kind) const;

  bool HasQueued(ClientKind kind) const {
    return !queued_[IndexOf(kind)].empty();
  }
  size_t size() const;
  // Empties the queue.
  std::vector<Connection*> TakeAll();

 private:
  size_t MaxThreads(ClientKind kind) const;

  const size_t threads_;
  PerClientKind<std::deque<Connection*>> queued_;
  PerClientKind<size_t> in_hand_{};
};

}  // namespace sorrelwood
