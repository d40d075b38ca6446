// The connections whose request waits for a thread, and the number of threads
// that each kind of client uses. Not synchronized; the server's mutex protects
// it.
#pragma once

#include <deque>
#include <vector>

#include "http/connection_table.h"

namespace sorrelwood {

// Each kind of client has its own share of the threads. Otherwise users whose
// requests wait for the state service, and clients that send only a part of a
// request, could occupy the threads that workers need.
class RequestQueue {
 public:
  explicit RequestQueue(size_t threads) : threads_(threads) {}

  void Push(Connection* connection);
  // Returns the next connection of a kind with a free thread and reserves this
  // thread until ReleaseThread; null if there is none.
  Connection* Pop();
  void ReleaseThread(ClientKind kind) { --in_progress_[IndexOf(kind)]; }
  // Counts a request in progress towards another kind's threads.
  void Reclassify(ClientKind from, ClientKind to);
  // False if all threads of the kind are in use.
  bool HasFreeThread(ClientKind kind) const;

  bool HasQueued(ClientKind kind) const {
    return !queued_[IndexOf(kind)].empty();
  }
  // Queued connections of all kinds.
  size_t size() const;
  // Removes all queued connections and returns them.
  std::vector<Connection*> TakeAll();

 private:
  size_t MaxThreads(ClientKind kind) const;

  const size_t threads_;
  PerClientKind<std::deque<Connection*>> queued_;
  PerClientKind<size_t> in_progress_{};  // requests that a thread serves
};

}  // namespace sorrelwood
