#include "http/buffered_stream.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "base/constants.h"
#include "concurrency/clocks.h"

namespace sorrelwood {
namespace {

// Waits until the socket is ready for `events`; false after `timeout_s`.
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

bool MustRetry() { return errno == EAGAIN || errno == EINTR; }

}  // namespace

void BufferedStream::RestartDeadline() {
  deadline_ = SteadyNow() + kRequestTransferTimeoutS;
}

bool BufferedStream::Begin() {
  if (has_buffered()) return true;
  const ssize_t count = recv(socket_, buffer_, kBufferBytes, MSG_DONTWAIT);
  if (count <= 0) {
    spurious_ = count < 0 && MustRetry();
    return false;
  }
  begin_ = 0;
  end_ = static_cast<size_t>(count);
  return true;
}

bool BufferedStream::Flush() {
  RestartDeadline();
  size_t sent = 0;
  while (sent < pending_.size()) {
    const ssize_t count =
        send(socket_, pending_.data() + sent, pending_.size() - sent,
             MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0) {
      sent += static_cast<size_t>(count);
      continue;
    }
    if (count == 0 || !MustRetry() || !is_writable()) return false;
  }
  pending_.clear();
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
    begin_ = 0;
    end_ = static_cast<size_t>(received);
  }
  const size_t count = std::min(size, end_ - begin_);
  memcpy(out, buffer_ + begin_, count);
  begin_ += count;
  return static_cast<ssize_t>(count);
}

ssize_t BufferedStream::write(const char* data, size_t size) {
  // The library writes headers and body one after the other: they are gathered
  // and leave in one packet by Flush.
  pending_.append(data, size);
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
    if (!MustRetry()) return -1;
    if (!WaitForSocket(socket_, POLLIN, deadline_ - SteadyNow())) return -1;
  }
}

}  // namespace sorrelwood
