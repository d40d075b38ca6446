#include "common.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdarg>
#include <cstring>

namespace review {
namespace {

const auto start_time = std::chrono::steady_clock::now();
FILE* record_file = nullptr;
std::mutex record_mutex;
std::mutex random_mutex;
std::mt19937_64 generator{std::random_device{}()};

// The close that follows sends a reset.
void ResetOnClose(int socket) {
  linger option{1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       start_time)
      .count();
}

void SleepFor(double seconds) {
  if (seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

double Random(double low, double high) {
  std::lock_guard lock(random_mutex);
  return std::uniform_real_distribution<double>(low, high)(generator);
}

int FreePort() {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  int port = 0;
  if (bind(socket, reinterpret_cast<sockaddr*>(&address), length) == 0 &&
      getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length) == 0)
    port = ntohs(address.sin_port);
  close(socket);
  return port;
}

std::string Address(int port) { return "127.0.0.1:" + std::to_string(port); }

void Record::Open(const std::string& path) {
  record_file = std::fopen(path.c_str(), "w");
}

void Record::Line(const char* format, ...) {
  std::lock_guard lock(record_mutex);
  va_list arguments;
  va_start(arguments, format);
  char text[2048];
  std::vsnprintf(text, sizeof(text), format, arguments);
  va_end(arguments);
  if (!record_file) return;
  std::fprintf(record_file, "%8.3f %s\n", Now(), text);
  std::fflush(record_file);
}

Proxy::Proxy(int target_port) : target_port_(target_port) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  bind(listener_, reinterpret_cast<sockaddr*>(&address), length);
  getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
  port_ = ntohs(address.sin_port);
  listen(listener_, 256);
  std::thread([this] { Accept(); }).detach();
}

void Proxy::Accept() {
  for (;;) {
    const int client = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (client < 0) {
      SleepFor(0.05);
      continue;
    }
    std::lock_guard lock(mutex_);
    if (mode_ == Mode::kSilent) {
      silent_.push_back(client);
      continue;
    }
    if (mode_ == Mode::kReset) {
      ResetOnClose(client);
      close(client);
      continue;
    }
    const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(target_port_));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(server, reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) != 0) {
      close(server);
      close(client);
      continue;
    }
    const int on = 1;
    setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const uint64_t id = next_id_++;
    pairs_[id] = {client, server, 2};
    std::thread([this, client, server, id] {
      Pump(client, server, id);
    }).detach();
    std::thread([this, client, server, id] {
      Pump(server, client, id);
    }).detach();
  }
}

void Proxy::Pump(int from, int to, uint64_t id) {
  char buffer[16384];
  for (;;) {
    const ssize_t count = recv(from, buffer, sizeof(buffer), 0);
    if (count <= 0) break;
    ssize_t sent = 0;
    while (sent < count) {
      const ssize_t part = send(
          to, buffer + sent, static_cast<size_t>(count - sent), MSG_NOSIGNAL);
      if (part <= 0) break;
      sent += part;
    }
    if (sent < count) break;
  }
  shutdown(from, SHUT_RDWR);
  shutdown(to, SHUT_RDWR);
  Forget(id);
}

void Proxy::Forget(uint64_t id) {
  std::lock_guard lock(mutex_);
  const auto pair = pairs_.find(id);
  if (pair == pairs_.end() || --pair->second.pumps > 0) return;
  close(pair->second.client);
  close(pair->second.server);
  pairs_.erase(pair);
}

void Proxy::Set(Mode mode) {
  std::lock_guard lock(mutex_);
  mode_ = mode;
  if (mode == Mode::kPass) {
    for (const int socket : silent_) close(socket);
    silent_.clear();
    return;
  }
  for (auto& [id, pair] : pairs_) {
    ResetOnClose(pair.client);
    ResetOnClose(pair.server);
    shutdown(pair.client, SHUT_RDWR);
    shutdown(pair.server, SHUT_RDWR);
  }
}

}  // namespace review
