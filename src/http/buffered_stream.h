// Adapts a non-blocking socket to a cpp-httplib stream with deadlines.
#pragma once

#include <httplib.h>

#include <string>

namespace sorrelwood {

// Reads through a small buffer, since the library reads headers byte by byte.
// A whole request must be read, and its whole response written, before a
// deadline, so that a client that sends single bytes slowly can't occupy a
// thread.
class BufferedStream : public httplib::Stream {
 public:
  // Does not own the socket.
  explicit BufferedStream(int socket) : socket_(socket) { RestartDeadline(); }

  // Gives the next request or response the full time
  // (kRequestTransferTimeoutS).
  void RestartDeadline();
  // Receives the available bytes without waiting. False if the client has
  // closed the connection or nothing has arrived (see woke_without_data).
  bool ReceiveAvailable();
  // True if ReceiveAvailable failed only because nothing had arrived; the
  // connection is still open then.
  bool woke_without_data() const { return woke_without_data_; }
  // Sends the written bytes; false if the client did not accept them in time.
  bool Flush();
  // True if received bytes have not been read yet.
  bool has_buffered() const { return unread_begin_ < unread_end_; }

  // httplib::Stream
  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* out, size_t size) override;
  ssize_t write(const char* data, size_t size) override;
  // No handler uses the addresses, so both return an empty one.
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return socket_; }

 private:
  // Holds the headers and body of a usual request.
  static constexpr size_t kBufferBytes = 2048;

  // Fills the buffer, waiting until the deadline. Returns the number of bytes,
  // 0 if the client has closed the connection, or -1 on errors.
  ssize_t Receive();

  int socket_;
  double deadline_ = 0;  // steady clock, s
  bool woke_without_data_ = false;
  char buffer_[kBufferBytes];
  // The range of received bytes in buffer_ that have not been read yet.
  size_t unread_begin_ = 0;
  size_t unread_end_ = 0;
  std::string unsent_;  // written bytes that Flush sends
};

}  // namespace sorrelwood
