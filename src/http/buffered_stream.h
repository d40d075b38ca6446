// A non-blocking socket as a stream of cpp-httplib, with deadlines.
#pragma once

#include <httplib.h>

#include <string>

namespace sorrelwood {

// Reads through a small buffer, since the library reads headers byte by byte.
// All of a request is read, and all of its response written, before a deadline:
// guards against a client that sends a byte now and then holding a thread.
class BufferedStream : public httplib::Stream {
 public:
  // Does not own the socket.
  explicit BufferedStream(int socket) : socket_(socket) { RestartDeadline(); }

  // A new request or response has the whole time again.
  void RestartDeadline();
  // Reads what has arrived; false when the client has closed the connection or
  // there is nothing to read after all (see spurious).
  bool Begin();
  // Begin failed only because nothing had arrived.
  bool spurious() const { return spurious_; }
  // Sends what was written; false when the client did not take it in time.
  bool Flush();
  // More has arrived than was read.
  bool has_buffered() const { return begin_ < end_; }

  // httplib::Stream
  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* out, size_t size) override;
  ssize_t write(const char* data, size_t size) override;
  // The addresses are not used by any handler.
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return socket_; }

 private:
  static constexpr size_t kBufferBytes = 2048;  // usual headers and body

  // Fills the buffer; the number of bytes, or below 1 at the end or on errors.
  ssize_t Receive();

  int socket_;
  double deadline_ = 0;  // steady clock, s
  bool spurious_ = false;
  char buffer_[kBufferBytes];
  size_t begin_ = 0;  // of the bytes in the buffer that are still to be read
  size_t end_ = 0;
  std::string pending_;  // written, not sent yet
};

}  // namespace sorrelwood
