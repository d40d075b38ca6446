// Connections between controllers. Each message is sent over a TCP connection
// after its length, which is encoded as 4 bytes in network byte order. A late
// status message is useless, so a message that can't be sent is dropped.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "core/model/peer_status.h"

namespace sorrelwood {

// Accepts the connections of the other controllers and passes their messages to
// a handler.
class PeerListener {
 public:
  // Called by one thread for each connection, so possibly by several at once.
  using Handler = std::function<void(PeerStatus)>;

  // `address` is "IP:port"; port 0 lets the system choose one.
  PeerListener(std::string address, Handler handler)
      : address_(std::move(address)), handler_(std::move(handler)) {}

  // Starts to listen; false if the address can't be listened on.
  bool Bind();
  // The listening port, after Bind().
  int port() const { return port_; }
  // Accepts connections until the process ends. Each connection has its own
  // thread.
  void Run();

 private:
  // Receives messages until the connection ends or a message is invalid, then
  // closes the socket.
  void ReceiveMessages(int socket);

  std::string address_;
  Handler handler_;
  int socket_ = -1;  // -1: not listening
  int port_ = 0;
};

// Sends messages to one peer. A new message replaces one that has not been sent
// yet. Post() may be called by any thread.
class PeerSender {
 public:
  // `address` is "IP:port".
  explicit PeerSender(std::string address) : address_(std::move(address)) {}

  // Queues the status for Run() and returns without waiting.
  void Post(const PeerStatus& status);
  // Sends the posted messages until the process ends.
  void Run();

 private:
  // Connects if necessary. False if the peer can't be reached or the connection
  // fails.
  bool Send(const std::string& bytes);

  std::string address_;
  int socket_ = -1;  // -1: not connected; only used by Run()
  std::mutex mutex_;
  std::condition_variable message_posted_;
  std::optional<std::string> pending_;  // guarded by mutex_
};

}  // namespace sorrelwood
