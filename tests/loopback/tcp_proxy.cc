#include "loopback/tcp_proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <stdexcept>
#include <utility>

namespace sorrelwood::test {
namespace {

constexpr int kPollIntervalMs = 5;
constexpr int kListenBacklog = 64;
constexpr size_t kBufferBytes = 16384;

sockaddr_in LoopbackSocketAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  return address;
}

FileDescriptor OpenSocket() {
  return FileDescriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
}

// Sends what one socket has received to the other. Returns whether both are
// still open.
bool Forward(const FileDescriptor& from, const FileDescriptor& to) {
  std::array<char, kBufferBytes> buffer;
  const ssize_t received = recv(from.get(), buffer.data(), buffer.size(), 0);
  if (received <= 0) return false;
  ssize_t sent = 0;
  while (sent < received) {
    const ssize_t written =
        send(to.get(), buffer.data() + sent,
             static_cast<size_t>(received - sent), MSG_NOSIGNAL);
    if (written <= 0) return false;
    sent += written;
  }
  return true;
}

}  // namespace

TcpProxy::TcpProxy(int target_port)
    : target_port_(target_port), listener_(OpenSocket()) {
  sockaddr_in address = LoopbackSocketAddress(0);
  socklen_t length = sizeof(address);
  if (bind(listener_.get(), reinterpret_cast<sockaddr*>(&address), length) !=
          0 ||
      getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&address),
                  &length) != 0 ||
      listen(listener_.get(), kListenBacklog) != 0)
    throw std::runtime_error("the proxy can't listen");
  port_ = ntohs(address.sin_port);
  thread_ = std::thread([this] { Run(); });
}

TcpProxy::~TcpProxy() {
  stopping_ = true;
  thread_.join();
}

void TcpProxy::Run() {
  while (!stopping_) {
    if (cut_) connections_.clear();
    HandleSockets();
    std::erase_if(connections_,
                  [](const Connection& item) { return item.closed; });
  }
}

void TcpProxy::HandleSockets() {
  std::vector<pollfd> sockets = {{listener_.get(), POLLIN, 0}};
  for (const Connection& connection : connections_) {
    sockets.push_back({connection.client.get(), POLLIN, 0});
    sockets.push_back({connection.target.get(), POLLIN, 0});
  }
  if (poll(sockets.data(), sockets.size(), kPollIntervalMs) <= 0) return;
  if (cut_) connections_.clear();
  for (size_t i = 0; i < connections_.size(); ++i) {
    Connection& connection = connections_[i];
    if (sockets[2 * i + 1].revents != 0)
      connection.closed = !Forward(connection.client, connection.target);
    if (!connection.closed && sockets[2 * i + 2].revents != 0)
      connection.closed = !Forward(connection.target, connection.client);
  }
  if (sockets[0].revents != 0) Accept();
}

void TcpProxy::Accept() {
  Connection connection;
  connection.client =
      FileDescriptor(accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC));
  if (!connection.client.valid() || cut_) return;
  connection.target = OpenSocket();
  const sockaddr_in address = LoopbackSocketAddress(target_port_);
  if (connect(connection.target.get(),
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0)
    connections_.push_back(std::move(connection));
}

}  // namespace sorrelwood::test
