// The open connections of a server: how many each kind of client holds, and
// which wait for their next request. Not synchronized; the server's mutex
// protects it.
#pragma once

#include <list>
#include <unordered_map>

#include "http/connection_limits.h"
#include "http/file_descriptor.h"

namespace sorrelwood {

// One connection. Between two requests it is a few bytes in a list; a thread
// serves it only while a request is in hand.
struct Connection {
  FileDescriptor socket;
  bool classified = false;  // its first request has told the kind of client
  ClientKind kind = ClientKind::kOther;
  bool close_after_response = false;
  bool waiting = false;   // for its next request, in the list of its kind
  double idle_since = 0;  // when it began to wait (steady clock, s)
  std::list<Connection*>::iterator place;  // in that list, while it waits
};

class ConnectionTable {
 public:
  explicit ConnectionTable(const ConnectionLimits& limits) : limits_(limits) {}

  // Takes over a socket that was accepted; null when all connections are in
  // use: it is closed at once, so that a load balancer goes elsewhere.
  Connection* Open(FileDescriptor socket);
  // Of a connection that does not wait.
  void Close(Connection* connection);
  // The connection with this socket if it waits for a request, or null.
  Connection* FindWaiting(int socket);

  // The time is that of the steady clock (s).
  void StartWaiting(Connection* connection, double now);
  void StopWaiting(Connection* connection);

  // False when all connections of `kind` are in use. Among workers one that has
  // missed heartbeats makes room: guards against connections to a zone that was
  // cut off shutting out its workers when they come back.
  bool MakeRoom(ClientKind kind, double now);
  // Counts the connection among those of `kind` from now on.
  void Classify(Connection* connection, ClientKind kind);
  // Closes connections that have waited too long.
  void CloseExpired(double now);
  // Ends all traffic; the connections stay until CloseAll.
  void ShutDownAll();
  void CloseAll() { connections_.clear(); }

 private:
  using WaitingList = std::list<Connection*>;

  // The list it waits in; within one all may wait equally long.
  WaitingList& WaitingListOf(const Connection& connection);
  double MaxIdleS(const Connection& connection) const;
  size_t MaxConnections(ClientKind kind) const;
  void CloseStaleWorker(double now);

  ConnectionLimits limits_;
  std::unordered_map<int, Connection> connections_;  // by socket
  PerClientKind<size_t> counts_{};                   // of those classified
  // Waiting for a request, the longest first: clients that have not sent any
  // yet, and the others.
  WaitingList unclassified_;
  PerClientKind<WaitingList> waiting_;
};

}  // namespace sorrelwood
