#include "http/connection_table.h"

#include <sys/socket.h>

#include <utility>

#include "base/constants.h"

namespace sorrelwood {

Connection* ConnectionTable::Open(FileDescriptor socket) {
  if (connections_.size() >= limits_.total) return nullptr;
  Connection& connection = connections_[socket.get()];
  connection.socket = std::move(socket);
  return &connection;
}

void ConnectionTable::Close(Connection* connection) {
  if (connection->classified) --counts_[IndexOf(connection->kind)];
  const int socket = connection->socket.get();
  ::shutdown(socket, SHUT_RDWR);
  connections_.erase(socket);
}

Connection* ConnectionTable::FindWaiting(int socket) {
  auto found = connections_.find(socket);
  if (found == connections_.end() || !found->second.waiting) return nullptr;
  return &found->second;
}

void ConnectionTable::StartWaiting(Connection* connection, double now) {
  WaitingList& list = WaitingListOf(*connection);
  connection->idle_since = now;
  connection->waiting = true;
  connection->place = list.insert(list.end(), connection);
}

void ConnectionTable::StopWaiting(Connection* connection) {
  WaitingListOf(*connection).erase(connection->place);
  connection->waiting = false;
}

bool ConnectionTable::MakeRoom(ClientKind kind, double now) {
  const size_t& count = counts_[IndexOf(kind)];
  const size_t limit = MaxConnections(kind);
  if (count >= limit && kind == ClientKind::kWorker) CloseStaleWorker(now);
  return count < limit;
}

void ConnectionTable::Classify(Connection* connection, ClientKind kind) {
  ++counts_[IndexOf(kind)];
  connection->classified = true;
  connection->kind = kind;
}

void ConnectionTable::CloseExpired(double now) {
  const auto close_expired = [&](WaitingList& list) {
    while (!list.empty() &&
           now - list.front()->idle_since > MaxIdleS(*list.front())) {
      Connection* connection = list.front();
      StopWaiting(connection);
      Close(connection);
    }
  };
  close_expired(unclassified_);
  for (WaitingList& list : waiting_) close_expired(list);
}

void ConnectionTable::ShutDownAll() {
  for (auto& [socket, connection] : connections_) ::shutdown(socket, SHUT_RDWR);
}

ConnectionTable::WaitingList& ConnectionTable::WaitingListOf(
    const Connection& connection) {
  return connection.classified ? waiting_[IndexOf(connection.kind)]
                               : unclassified_;
}

double ConnectionTable::MaxIdleS(const Connection& connection) const {
  if (!connection.classified) return kRequestTransferTimeoutS;
  return connection.kind == ClientKind::kWorker ? limits_.worker_idle_s
                                                : kIdleConnectionTimeoutS;
}

size_t ConnectionTable::MaxConnections(ClientKind kind) const {
  switch (kind) {
    case ClientKind::kWorker: return limits_.workers;
    case ClientKind::kUser: return limits_.users;
    case ClientKind::kOther: return limits_.total;
  }
  return 0;
}

void ConnectionTable::CloseStaleWorker(double now) {
  const WaitingList& workers = waiting_[IndexOf(ClientKind::kWorker)];
  if (workers.empty()) return;
  Connection* quietest = workers.front();
  if (now - quietest->idle_since < limits_.worker_stale_s) return;
  StopWaiting(quietest);
  Close(quietest);
}

}  // namespace sorrelwood
