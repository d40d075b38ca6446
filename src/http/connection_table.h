// The open connections of a server: how many each kind of client has, and which
// are idle. Not synchronized; the server's mutex protects it.
#pragma once

#include <list>
#include <unordered_map>

#include "http/connection_limits.h"
#include "http/file_descriptor.h"

namespace sorrelwood {

// One connection. It is idle between two requests, which costs only an entry in
// a list; a thread serves it only while a request is in progress.
struct Connection {
  FileDescriptor socket;
  bool is_classified = false;  // `kind` is known from its first request
  ClientKind kind = ClientKind::kOther;
  bool close_after_response = false;
  bool is_idle = false;
  // Valid while the connection is idle.
  double idle_since = 0;  // steady clock, s
  std::list<Connection*>::iterator position_in_idle_list;
};

class ConnectionTable {
 public:
  explicit ConnectionTable(const ConnectionLimits& limits) : limits_(limits) {}

  // Takes over an accepted socket. Returns null if all connections are in use;
  // the socket is then closed at once, so that a load balancer uses another
  // controller.
  Connection* Open(FileDescriptor socket);
  // The connection must not be idle.
  void Close(Connection* connection);
  // The idle connection with this socket, or null.
  Connection* FindIdle(int socket);

  // `now` is the time of the steady clock (s) in all functions.
  void MarkIdle(Connection* connection, double now);
  void MarkBusy(Connection* connection);

  // Returns whether another connection of `kind` is allowed. For workers it
  // closes the longest idle connection if necessary and if that one has missed
  // heartbeats. Otherwise dead connections to a zone that was cut off would
  // keep its workers out when the zone is reachable again.
  bool EnsureCapacity(ClientKind kind, double now);
  // Sets the connection's kind and counts it towards the limit of this kind.
  void Classify(Connection* connection, ClientKind kind);
  // Closes connections that have been idle for too long.
  void CloseExpired(double now);
  // Shuts down all sockets; the connections remain until CloseAll.
  void ShutDownAll();
  void CloseAll() { connections_.clear(); }

 private:
  // Ordered by idle time, the longest first. All connections of a list have the
  // same idle timeout.
  using IdleList = std::list<Connection*>;

  IdleList& FindIdleList(const Connection& connection);
  double IdleTimeoutS(const Connection& connection) const;
  size_t MaxConnections(ClientKind kind) const;
  // Closes the workers' longest idle connection if it has missed heartbeats.
  void CloseLongestIdleWorker(double now);

  ConnectionLimits limits_;
  std::unordered_map<int, Connection> connections_;  // by socket
  PerClientKind<size_t> classified_counts_{};
  IdleList idle_unclassified_;  // no request received yet
  PerClientKind<IdleList> idle_classified_;
};

}  // namespace sorrelwood
