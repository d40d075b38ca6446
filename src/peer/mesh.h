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

#include "core/model/types.h"

namespace sorrelwood {

std::string EncodeNote(const MeshNote& note);
// False when the bytes are no note.
bool DecodeNote(const std::string& bytes, MeshNote* note);

// Accepts connections of the others and hands on their notes.
class MeshListener {
 public:
  using Handler = std::function<void(MeshNote)>;
  MeshListener(std::string address, Handler handler)
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

// Sends notes to one sibling; the latest replaces one that still waits.
class MeshSender {
 public:
  explicit MeshSender(std::string address) : address_(std::move(address)) {}
  void Post(const MeshNote& note);
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
