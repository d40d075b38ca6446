// Forwards TCP connections on loopback to another port. Tests cut the
// connection between two processes with it.
#pragma once

#include <atomic>
#include <thread>
#include <vector>

#include "http/file_descriptor.h"

namespace sorrelwood::test {

class TcpProxy {
 public:
  explicit TcpProxy(int target_port);
  ~TcpProxy();
  TcpProxy(const TcpProxy&) = delete;
  TcpProxy& operator=(const TcpProxy&) = delete;

  int port() const { return port_; }
  // While cut, all connections are closed, new ones at once.
  void SetCut(bool cut) { cut_ = cut; }

 private:
  struct Connection {
    FileDescriptor client, target;
    bool closed = false;
  };

  void Run();
  // Waits until a socket is readable, for a bounded time, and handles it.
  void HandleSockets();
  void Accept();

  const int target_port_;
  int port_ = 0;
  FileDescriptor listener_;
  std::vector<Connection> connections_;
  std::atomic<bool> cut_{false}, stopping_{false};
  std::thread thread_;
};

}  // namespace sorrelwood::test
