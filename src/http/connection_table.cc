#include "http/connection_table.h"

#include <sys/socket.h>

#include <utility>

#include "base/constants/http_connections.h"

namespace sorrelwood {

Connection* ConnectionTable::Open(FileDescriptor socket) {
  if (connections_.size() >= limits_.total) return nullptr;
  Connection& connection = connections_[socket.get()];
  connection.socket = std::move(socket);
  return &connection;
}

void ConnectionTable::Close(Connection* connection) {
  if (connection->is_classified)
    --classified_counts_[IndexOf(connection->kind)];
  const int socket = connection->socket.get();
  ::shutdown(socket, SHUT_RDWR);
  connections_.erase(socket);
}

Connection* ConnectionTable::FindIdle(int socket) {
  auto entry = connections_.find(socket);
  if (entry == connections_.end() || !entry->second.is_idle) return nullptr;
  return &entry->second;
}

void ConnectionTable::MarkIdle(Connection* connection, double now) {
  IdleList& list = FindIdleList(*connection);
  connection->idle_since = now;
  connection->is_idle = true;
  connection->position_in_idle_list = list.insert(list.end(), connection);
}

void ConnectionTable::MarkBusy(Connection* connection) {
  FindIdleList(*connection).erase(connection->position_in_idle_list);
  connection->is_idle = false;
}

bool ConnectionTable::EnsureCapacity(ClientKind kind, double now) {
  const size_t& count = classified_counts_[IndexOf(kind)];
  const size_t limit = MaxConnections(kind);
  if (count >= limit && kind == ClientKind::kWorker)
    CloseLongestIdleWorker(now);
  return count < limit;
}

void ConnectionTable::Classify(Connection* connection, ClientKind kind) {
  ++classified_counts_[IndexOf(kind)];
  connection->is_classified = true;
  connection->kind = kind;
}

void ConnectionTable::CloseExpired(double now) {
  const auto close_expired = [&](IdleList& list) {
    while (!list.empty() &&
           now - list.front()->idle_since > IdleTimeoutS(*list.front())) {
      Connection* connection = list.front();
      MarkBusy(connection);
      Close(connection);
    }
  };
  close_expired(idle_unclassified_);
  for (IdleList& list : idle_classified_) close_expired(list);
}

void ConnectionTable::ShutDownAll() {
  for (auto& [socket, connection] : connections_) ::shutdown(socket, SHUT_RDWR);
}

ConnectionTable::IdleList& ConnectionTable::FindIdleList(
    const Connection& connection) {
  return connection.is_classified ? idle_classified_[IndexOf(connection.kind)]
                                  : idle_unclassified_;
}

double ConnectionTable::IdleTimeoutS(const Connection& connection) const {
  if (!connection.is_classified) return kRequestTransferTimeoutS;
  return connection.kind == ClientKind::kWorker ? limits_.worker_idle_timeout_s
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

void ConnectionTable::CloseLongestIdleWorker(double now) {
  const IdleList& workers = idle_classified_[IndexOf(ClientKind::kWorker)];
  if (workers.empty()) return;
  Connection* longest_idle = workers.front();
  if (now - longest_idle->idle_since < limits_.worker_evictable_after_s) return;
  MarkBusy(longest_idle);
  Close(longest_idle);
}

}  // namespace sorrelwood
