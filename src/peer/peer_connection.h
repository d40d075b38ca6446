// Connections between controllers. Each message travels over a blocking TCP
// socket with its length before it, as 4 bytes in network order. A message is
// worth nothing when late, so one that can't be sent is dropped.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "core/model/peer_status.h"

namespace sorrelwood {

// Accepts the connections of the other controllers and hands on what they send.
class PeerListener {
 public:
  // Called on the thread of the connection, so on several at once.
  using Handler = std::function<void(PeerStatus)>;

  // `address` is "IP:port"; port 0 lets the system choose one.
  PeerListener(std::string address, Handler handler)
      : address_(std::move(address)), handler_(std::move(handler)) {}

  // Starts to listen; false if the address can't be used.
  bool Bind();
  // The port that is listened on, after Bind().
  int port() const { return port_; }
  // Accepts connections, each served by a thread of its own, for the life of
  // the process.
  void Run();

 private:
  // Reads messages until the connection ends or one of them is malformed.
  void Serve(int socket);

  std::string address_;
  Handler handler_;
  int socket_ = -1;
  int port_ = 0;
};

// Sends messages to one peer; the latest replaces one that still waits. Post()
// may be called on any thread.
class PeerSender {
 public:
  // `address` is "IP:port".
  explicit PeerSender(std::string address) : address_(std::move(address)) {}

  // Has the status sent by Run(), without waiting for it.
  void Post(const PeerStatus& status);
  // Sends what is posted, for the life of the process.
  void Run();

 private:
  // Connects if need be; false if the peer can't be reached or the connection
  // breaks.
  bool Send(const std::string& bytes);

  std::string address_;
  int socket_ = -1;  // only used by Run()
  std::mutex mutex_;
  std::condition_variable ready_;
  std::optional<std::string> pending_;  // guarded by mutex_
};

}  // namespace sorrelwood
