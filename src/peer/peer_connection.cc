#include "peer/peer_connection.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <thread>

#include "base/constants/http_connections.h"
#include "base/constants/peers.h"
#include "concurrency/threads.h"
#include "http/endpoint.h"
#include "peer/peer_status_codec.h"

namespace sorrelwood {
namespace {

constexpr int kSendTimeoutMs = 1500;
// Peers send about once a second, so one that is silent for this long is gone.
constexpr int kReceiveTimeoutMs = 15000;
// Pause before the next call of accept after a failed one.
constexpr std::chrono::milliseconds kAcceptRetryPauseMs{100};

// Parses "IP:port"; false if `text` is not an IPv4 address and a port.
bool ParseSocketAddress(const std::string& text, sockaddr_in* address) {
  Endpoint endpoint;
  if (!ParseEndpoint(text, &endpoint)) return false;
  std::memset(address, 0, sizeof(*address));
  address->sin_family = AF_INET;
  address->sin_port = htons(static_cast<uint16_t>(endpoint.port));
  return inet_pton(AF_INET, endpoint.host.c_str(), &address->sin_addr) == 1;
}

// Waits until the socket is ready for `events`; false on timeout.
bool WaitForSocket(int socket, int16_t events, int timeout_ms) {
  pollfd descriptor{socket, events, 0};
  int ready;
  do {
    ready = poll(&descriptor, 1, timeout_ms);
  } while (ready < 0 && errno == EINTR);
  return ready > 0;
}

// Fills `out`. False if the peer closes the connection or sends nothing for
// kReceiveTimeoutMs.
bool ReadAll(int socket, char* out, size_t size) {
  while (size > 0) {
    if (!WaitForSocket(socket, POLLIN, kReceiveTimeoutMs)) return false;
    const ssize_t received = recv(socket, out, size, 0);
    if (received < 0 && errno == EINTR) continue;
    if (received <= 0) return false;
    out += received;
    size -= static_cast<size_t>(received);
  }
  return true;
}

// Sends all of `data`. False if the connection fails or the peer accepts
// nothing for kSendTimeoutMs.
bool WriteAll(int socket, const char* data, size_t size) {
  while (size > 0) {
    if (!WaitForSocket(socket, POLLOUT, kSendTimeoutMs)) return false;
    const ssize_t sent_bytes =
        send(socket, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent_bytes < 0 && (errno == EINTR || errno == EAGAIN)) continue;
    if (sent_bytes <= 0) return false;
    data += sent_bytes;
    size -= static_cast<size_t>(sent_bytes);
  }
  return true;
}

// Returns a blocking socket, or -1 if the peer can't be reached within
// kSendTimeoutMs.
int Connect(const std::string& peer_address) {
  sockaddr_in address;
  if (!ParseSocketAddress(peer_address, &address)) return -1;
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (socket < 0) return -1;
  const int flags = fcntl(socket, F_GETFL);
  fcntl(socket, F_SETFL, flags | O_NONBLOCK);
  int result =
      connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (result != 0 && errno == EINPROGRESS &&
      WaitForSocket(socket, POLLOUT, kSendTimeoutMs)) {
    int error = 0;
    socklen_t length = sizeof(error);
    getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length);
    result = error == 0 ? 0 : -1;
  }
  if (result != 0) {
    close(socket);
    return -1;
  }
  fcntl(socket, F_SETFL, flags);
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return socket;
}

}  // namespace

bool PeerListener::Bind() {
  sockaddr_in address;
  if (!ParseSocketAddress(address_, &address)) return false;
  socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (socket_ < 0) return false;
  const int on = 1;
  setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0)
    return false;
  socklen_t length = sizeof(address);
  getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &length);
  port_ = ntohs(address.sin_port);
  return listen(socket_, kMinListenBacklog) == 0;
}

void PeerListener::Run() {
  for (;;) {
    const int socket = accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      if (errno == EBADF || errno == EINVAL) return;
      std::this_thread::sleep_for(kAcceptRetryPauseMs);
      continue;
    }
    // Closing the connection makes the peer connect again later.
    if (!StartThread("peer-receive",
                     [this, socket] { ReceiveMessages(socket); }))
      close(socket);
  }
}

void PeerListener::ReceiveMessages(int socket) {
  for (;;) {
    uint32_t size = 0;
    if (!ReadAll(socket, reinterpret_cast<char*>(&size), sizeof(size))) break;
    size = ntohl(size);
    if (size == 0 || size > kMaxPeerMessageBytes) break;
    std::string bytes(size, '\0');
    if (!ReadAll(socket, bytes.data(), size)) break;
    ParseResult<PeerStatus> status = DecodePeerStatus(bytes);
    if (!status) break;
    handler_(std::move(*status));
  }
  close(socket);
}

void PeerSender::Post(const PeerStatus& status) {
  std::string bytes = EncodePeerStatus(status);
  std::lock_guard lock(mutex_);
  pending_ = std::move(bytes);
  message_posted_.notify_one();
}

bool PeerSender::Send(const std::string& bytes) {
  if (socket_ < 0) socket_ = Connect(address_);
  if (socket_ < 0) return false;
  const uint32_t size = htonl(static_cast<uint32_t>(bytes.size()));
  std::string frame(reinterpret_cast<const char*>(&size), sizeof(size));
  frame += bytes;
  if (WriteAll(socket_, frame.data(), frame.size())) return true;
  close(socket_);
  socket_ = -1;
  return false;
}

void PeerSender::Run() {
  for (;;) {
    std::string bytes;
    {
      std::unique_lock lock(mutex_);
      message_posted_.wait(lock, [this] { return pending_.has_value(); });
      bytes = std::move(*pending_);
      pending_.reset();
    }
    // The peer may have closed the old connection: tries once more on a new
    // one.
    if (!Send(bytes)) Send(bytes);
  }
}

}  // namespace sorrelwood
