#include "peer/mesh.h"

#include <arpa/inet.h>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <thread>

#include "base/constants.h"
#include "concurrency/threads.h"
#include "http/endpoint.h"
#include "mesh.capnp.h"

namespace sorrelwood {
namespace {

// A note with counts of a few thousand jobs stays far below this.
constexpr uint32_t kMaxNoteBytes = 1 << 20;
constexpr int kSendTimeoutMs = 1500;
// A peer that says nothing for this long has gone (it sends every second).
constexpr int kReceiveTimeoutMs = 15000;

bool SetAddress(const std::string& text, sockaddr_in* address) {
  Endpoint endpoint;
  if (!ParseEndpoint(text, &endpoint)) return false;
  memset(address, 0, sizeof(*address));
  address->sin_family = AF_INET;
  address->sin_port = htons(static_cast<uint16_t>(endpoint.port));
  return inet_pton(AF_INET, endpoint.host.c_str(), &address->sin_addr) == 1;
}

bool WaitFor(int socket, int16_t events, int timeout_ms) {
  pollfd fd{socket, events, 0};
  int ready;
  do {
    ready = poll(&fd, 1, timeout_ms);
  } while (ready < 0 && errno == EINTR);
  return ready > 0;
}

bool ReadAll(int socket, char* out, size_t size) {
  while (size > 0) {
    if (!WaitFor(socket, POLLIN, kReceiveTimeoutMs)) return false;
    const ssize_t n = recv(socket, out, size, 0);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    out += n;
    size -= static_cast<size_t>(n);
  }
  return true;
}

bool WriteAll(int socket, const char* data, size_t size) {
  while (size > 0) {
    if (!WaitFor(socket, POLLOUT, kSendTimeoutMs)) return false;
    const ssize_t n = send(socket, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0 && (errno == EINTR || errno == EAGAIN)) continue;
    if (n <= 0) return false;
    data += n;
    size -= static_cast<size_t>(n);
  }
  return true;
}

int Connect(const std::string& text) {
  sockaddr_in address;
  if (!SetAddress(text, &address)) return -1;
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (socket < 0) return -1;
  const int flags = fcntl(socket, F_GETFL);
  fcntl(socket, F_SETFL, flags | O_NONBLOCK);
  int result =
      connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (result != 0 && errno == EINPROGRESS &&
      WaitFor(socket, POLLOUT, kSendTimeoutMs)) {
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

std::string EncodePeerStatus(const PeerStatus& note) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<mesh::Note>();
  root.setNode(note.node);
  root.setIncarnation(note.incarnation);
  root.setSequence(note.sequence);
  root.setTerm(note.term);
  root.setLeader(note.leader);
  root.setServedAgoMs(note.served_ago_ms);
  auto jobs = root.initJobs(static_cast<unsigned>(note.jobs.size()));
  for (unsigned i = 0; i < note.jobs.size(); ++i) {
    jobs[i].setJob(note.jobs[i].id);
    jobs[i].setDone(note.jobs[i].done);
    jobs[i].setRunning(note.jobs[i].running);
  }
  const auto words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return std::string(reinterpret_cast<const char*>(bytes.begin()),
                     bytes.size());
}

bool DecodePeerStatus(const std::string& bytes, PeerStatus* note) {
  if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0) return false;
  try {
    std::vector<capnp::word> words(bytes.size() / sizeof(capnp::word));
    memcpy(words.data(), bytes.data(), bytes.size());
    capnp::FlatArrayMessageReader reader(
        kj::arrayPtr(words.data(), words.size()));
    auto root = reader.getRoot<mesh::Note>();
    note->node = root.getNode();
    note->incarnation = root.getIncarnation();
    note->sequence = root.getSequence();
    note->term = root.getTerm();
    note->leader = root.getLeader();
    note->served_ago_ms = root.getServedAgoMs();
    for (auto job : root.getJobs())
      note->jobs.push_back({job.getJob(), job.getDone(), job.getRunning()});
    return true;
  } catch (const kj::Exception&) {
    return false;
  }
}

bool PeerListener::Bind() {
  sockaddr_in address;
  if (!SetAddress(address_, &address)) return false;
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
  return listen(socket_, kListenBacklog) == 0;
}

void PeerListener::Run() {
  for (;;) {
    const int socket = accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      if (errno == EBADF || errno == EINVAL) return;
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      continue;
    }
    // Without a thread for it the peer is told so, and tries again.
    if (!StartThread("mesh", [this, socket] { Serve(socket); })) close(socket);
  }
}

void PeerListener::Serve(int socket) {
  for (;;) {
    uint32_t size = 0;
    if (!ReadAll(socket, reinterpret_cast<char*>(&size), sizeof(size))) break;
    size = ntohl(size);
    if (size == 0 || size > kMaxNoteBytes) break;
    std::string bytes(size, '\0');
    if (!ReadAll(socket, bytes.data(), size)) break;
    PeerStatus note;
    if (!DecodePeerStatus(bytes, &note)) break;
    handler_(std::move(note));
  }
  close(socket);
}

void PeerSender::Post(const PeerStatus& note) {
  std::string bytes = EncodePeerStatus(note);
  std::lock_guard lock(mutex_);
  waiting_ = std::move(bytes);
  ready_.notify_one();
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
      ready_.wait(lock, [this] { return waiting_.has_value(); });
      bytes = std::move(*waiting_);
      waiting_.reset();
    }
    if (!Send(bytes)) Send(bytes);  // the connection may have been a dead one
  }
}

}  // namespace sorrelwood
