#include "http/buffered_stream.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "base/constants/http_connections.h"
#include "concurrency/clocks.h"

namespace sorrelwood {
namespace {

// Waits until the socket is ready for `events`; false on timeout.
bool WaitForSocket(int socket, int16_t events, double timeout_s) {
  constexpr double kMillisecondsPerSecond = 1000;
  pollfd descriptor{socket, events, 0};
  for (;;) {
    const int ready = poll(
        &descriptor, 1,
        static_cast<int>(std::max(0.0, timeout_s) * kMillisecondsPerSecond));
    if (ready < 0 && errno == EINTR) continue;
    return ready > 0;
  }
}

// True if the last call on a socket failed only for the moment.
bool IsTransientError() { return errno == EAGAIN || errno == EINTR; }

}  // namespace

void BufferedStream::RestartDeadline() {
  deadline_ = SteadyNow() + kRequestTransferTimeoutS;
}

bool BufferedStream::ReceiveAvailable() {
  if (has_buffered()) return true;
  const ssize_t count = recv(socket_, buffer_, kBufferBytes, MSG_DONTWAIT);
  if (count <= 0) {
    woke_without_data_ = count < 0 && IsTransientError();
    return false;
  }
  unread_begin_ = 0;
  unread_end_ = static_cast<size_t>(count);
  return true;
}

bool BufferedStream::Flush() {
  RestartDeadline();
  size_t sent_bytes = 0;
  while (sent_bytes < unsent_.size()) {
    const ssize_t count =
        send(socket_, unsent_.data() + sent_bytes, unsent_.size() - sent_bytes,
             MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0) {
      sent_bytes += static_cast<size_t>(count);
      continue;
    }
    if (count == 0 || !IsTransientError() || !is_writable()) return false;
  }
  unsent_.clear();
  return true;
}

bool BufferedStream::is_readable() const {
  return has_buffered() ||
         WaitForSocket(socket_, POLLIN, deadline_ - SteadyNow());
}

bool BufferedStream::is_writable() const {
  return WaitForSocket(socket_, POLLOUT, deadline_ - SteadyNow());
}

ssize_t BufferedStream::read(char* out, size_t size) {
  if (!has_buffered()) {
    const ssize_t received = Receive();
    if (received <= 0) return received;
    unread_begin_ = 0;
    unread_end_ = static_cast<size_t>(received);
  }
  const size_t count = std::min(size, unread_end_ - unread_begin_);
  memcpy(out, buffer_ + unread_begin_, count);
  unread_begin_ += count;
  return static_cast<ssize_t>(count);
}

ssize_t BufferedStream::write(const char* data, size_t size) {
  // The library writes headers and body separately. They are collected here, so
  // that Flush can send them in one packet.
  unsent_.append(data, size);
  return static_cast<ssize_t>(size);
}

void BufferedStream::get_remote_ip_and_port(std::string& ip, int& port) const {
  ip.clear();
  port = 0;
}

void BufferedStream::get_local_ip_and_port(std::string& ip, int& port) const {
  ip.clear();
  port = 0;
}

ssize_t BufferedStream::Receive() {
  for (;;) {
    const ssize_t count = recv(socket_, buffer_, kBufferBytes, MSG_DONTWAIT);
    if (count >= 0) return count;
    if (!IsTransientError()) return -1;
    if (!WaitForSocket(socket_, POLLIN, deadline_ - SteadyNow())) return -1;
  }
}

}  // namespace sorrelwood
