// Notes between controllers: Cap'n Proto messages over blocking sockets, each
// with its length before it. A note is worth nothing when late, so one that
// can't be sent is dropped.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "core/model/peer_status.h"

namespace sorrelwood {

std::string EncodePeerStatus(const PeerStatus& note);
// False when the bytes are no note.
bool DecodePeerStatus(const std::string& bytes, PeerStatus* note);

// Accepts connections of the others and hands on their notes.
class PeerListener {
 public:
  using Handler = std::function<void(PeerStatus)>;
  PeerListener(std::string address, Handler handler)
      : address_(std::move(address)), handler_(std::move(handler)) {}
  bool Bind();
  int port() const { return port_; }
  void Run();  // for the life of the process

 private:
  void Serve(int socket);

  std::string address_;
  Handler handler_;
  int socket_ = -1;
  int port_ = 0;
};

// Sends notes to one peer; the latest replaces one that still waits.
class PeerSender {
 public:
  explicit PeerSender(std::string address) : address_(std::move(address)) {}
  void Post(const PeerStatus& note);
  void Run();  // for the life of the process

 private:
  bool Send(const std::string& bytes);

  std::string address_;
  int socket_ = -1;
  std::mutex mutex_;
  std::condition_variable ready_;
  std::optional<std::string> waiting_;
};

}  // namespace sorrelwood
