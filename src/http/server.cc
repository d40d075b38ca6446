#include <arpa/inet.h>
#include <httplib.h>
#include <netdb.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <cstring>
#include <deque>
#include <list>
#include <mutex>
#include <unordered_map>

#include "base/constants.h"
#include "http/server.h"

namespace sorrelwood {
namespace {

bool WaitFor(int socket, int16_t events, double timeout_s) {
  pollfd fd{socket, events, 0};
  for (;;) {
    const int ready =
        poll(&fd, 1, static_cast<int>(std::max(0.0, timeout_s) * 1000));
    if (ready < 0 && errno == EINTR) continue;
    return ready > 0;
  }
}

using Clock = std::chrono::steady_clock;

double Now() {
  return std::chrono::duration<double>(Clock::now().time_since_epoch()).count();
}

// One connection. Between two requests it is a few bytes in a list; a thread
// serves it only while a request is in hand.
struct Connection {
  int socket = -1;
  bool counted = false;  // its first request has told who it is
  PeerKind kind = PeerKind::kOther;
  bool close = false;
  bool waiting = false;  // for its next request, in the list of its kind
  double idle_since = 0;
  std::list<Connection *>::iterator place;
};

// Reads through a small buffer, since the library reads headers byte by byte.
// All of a request is read, and all of its answer written, before a time: a
// peer that sends a byte now and then holds a thread no longer than that.
class BufferedStream : public httplib::Stream {
 public:
  explicit BufferedStream(int socket) : socket_(socket) { Restart(); }

  void Restart() { until_ = Now() + kRequestReadTimeoutS; }
  // False when the peer has closed it or there is nothing to read after all.
  bool Begin() {
    if (begin_ < end_) return true;
    const ssize_t n = recv(socket_, buffer_, sizeof(buffer_), MSG_DONTWAIT);
    if (n <= 0) {
      spurious_ = n < 0 && (errno == EAGAIN || errno == EINTR);
      return false;
    }
    begin_ = 0;
    end_ = static_cast<size_t>(n);
    return true;
  }
  bool spurious() const { return spurious_; }

  bool is_readable() const override {
    return begin_ < end_ || WaitFor(socket_, POLLIN, until_ - Now());
  }
  bool is_writable() const override {
    return WaitFor(socket_, POLLOUT, until_ - Now());
  }
  ssize_t read(char *out, size_t size) override {
    if (begin_ == end_) {
      const ssize_t got = Receive(buffer_, sizeof(buffer_));
      if (got <= 0) return got;
      begin_ = 0;
      end_ = static_cast<size_t>(got);
    }
    const size_t count = std::min(size, end_ - begin_);
    memcpy(out, buffer_ + begin_, count);
    begin_ += count;
    return static_cast<ssize_t>(count);
  }
  ssize_t write(const char *data, size_t size) override {
    // The library writes headers and body one after the other: they are
    // gathered and leave in one packet by Flush.
    pending_.append(data, size);
    return static_cast<ssize_t>(size);
  }
  bool Flush() {
    until_ = Now() + kRequestReadTimeoutS;
    size_t sent = 0;
    while (sent < pending_.size()) {
      const ssize_t n =
          send(socket_, pending_.data() + sent, pending_.size() - sent,
               MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n > 0) {
        sent += static_cast<size_t>(n);
        continue;
      }
      if (n == 0 || (errno != EAGAIN && errno != EINTR)) return false;
      if (!is_writable()) return false;
    }
    pending_.clear();
    return true;
  }
  void get_remote_ip_and_port(std::string &ip, int &port) const override {
    ip.clear();
    port = 0;
  }
  void get_local_ip_and_port(std::string &ip, int &port) const override {
    ip.clear();
    port = 0;
  }
  socket_t socket() const override { return socket_; }
  bool has_buffered() const { return begin_ < end_; }

 private:
  ssize_t Receive(char *out, size_t size) {
    for (;;) {
      const ssize_t n = recv(socket_, out, size, MSG_DONTWAIT);
      if (n >= 0) return n;
      if (errno != EAGAIN && errno != EINTR) return -1;
      if (!WaitFor(socket_, POLLIN, until_ - Now())) return -1;
    }
  }

  int socket_;
  double until_ = 0;
  bool spurious_ = false;
  char buffer_[2048];
  size_t begin_ = 0, end_ = 0;
  std::string pending_;
};

// The connection whose request this thread has in hand.
thread_local Connection *peer = nullptr;

// The library's accepting thread calls `work` itself: all it does is to hand
// the socket over.
class AcceptingThread : public httplib::TaskQueue {
 public:
  void enqueue(std::function<void()> work) override { work(); }
  void shutdown() override {}
};

std::string ErrorBody(const char *message) {
  return std::string("{\"error\":\"") + message + "\"}";
}

}  // namespace

class HttpServer::Impl : public httplib::Server {
 public:
  Impl(const Endpoint &endpoint, const ConnectionLimits &limits,
       PeerClassifier classify, HttpHandler handler)
      : endpoint_(endpoint),
        limits_(limits),
        classify_(std::move(classify)),
        handler_(std::move(handler)) {
    new_task_queue = [] { return new AcceptingThread; };
    set_payload_max_length(kMaxBodyBytes);
    set_socket_options([](socket_t socket) {
      const int on = 1;
      setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
    set_pre_routing_handler([](const httplib::Request &request,
                               httplib::Response &response) {
      if (request.method == "GET" || request.method == "POST")
        return HandlerResponse::Unhandled;
      response.status = 405;
      response.set_header("Allow", "GET, POST");
      response.set_content(ErrorBody("method not allowed"), "application/json");
      return HandlerResponse::Handled;
    });
    const auto handle = [this](const httplib::Request &request,
                               httplib::Response &response) {
      Answer(request, response);
    };
    // The real path is kept in `target` (see Serve): the library matches paths
    // by a recursive regular expression, which a long one would overflow.
    Get("/", handle);
    Post("/", handle);
    set_error_handler(
        [](const httplib::Request &, httplib::Response &response) {
          if (!response.body.empty()) return;
          if (response.status == 413) {
            response.status = 400;
            response.set_content(ErrorBody("the body is over 64 KiB"),
                                 "application/json");
          } else {
            response.set_content(ErrorBody("bad request"), "application/json");
          }
        });
  }

  bool Bind() {
    poll_ = epoll_create1(EPOLL_CLOEXEC);
    if (poll_ < 0) return false;
    port_ = endpoint_.port;
    if (port_ == 0) {
      port_ = bind_to_any_port(endpoint_.host, AI_NUMERICHOST);
      if (port_ < 0) return false;
    } else if (!bind_to_port(endpoint_.host, port_, AI_NUMERICHOST)) {
      return false;
    }
    // The library listens with a backlog of 5; a second call lengthens it.
    const int backlog = kMinListenBacklog + static_cast<int>(limits_.workers) /
                                                kWorkersPerBacklogEntry;
    return ::listen(svr_sock_, backlog) == 0;
  }

  int port() const { return port_; }

  void Serve() {
    if (!StartThread([](void *self) -> void * {
          static_cast<Impl *>(self)->WatchIdle();
          return nullptr;
        }))
      return;
    listen_after_bind();
    std::unique_lock lock(mutex_);
    ended_.wait(lock, [this] { return threads_ == 0; });
    for (auto &[socket, connection] : open_) ::close(socket);
    open_.clear();
    ::close(poll_);
    if (wake_ >= 0) ::close(wake_);
  }

  void CloseAll() {
    stop();
    std::lock_guard lock(mutex_);
    stopping_ = true;
    ready_.notify_all();
    for (auto &[socket, connection] : open_) ::shutdown(socket, SHUT_RDWR);
    // Readable from the start: it wakes the thread that polls.
    wake_ = eventfd(1, EFD_CLOEXEC);
    epoll_event event{};
    event.events = EPOLLIN;
    epoll_ctl(poll_, EPOLL_CTL_ADD, wake_, &event);
  }

 private:
  void Answer(const httplib::Request &request, httplib::Response &response) {
    HttpRequest in;
    in.method = request.method;
    in.path = request.target.substr(0, request.target.find('?'));
    in.body = request.body;
    if (!peer->counted && !Admit(classify_(in.path))) {
      peer->close = true;
      response.status = 503;
      response.set_header("Retry-After", "1");
      response.set_header("Connection", "close");
      response.set_content(ErrorBody("too many connections"),
                           "application/json");
      return;
    }
    HttpReply out = handler_(in);
    response.status = out.status;
    if (out.retry_after_s > 0)
      response.set_header("Retry-After",
                          std::to_string(std::lround(
                              std::max(1.0, std::ceil(out.retry_after_s)))));
    response.set_content(out.body, out.content_type.c_str());
  }

  // --- Connections
  // A socket that has just been accepted.
  bool process_and_close_socket(socket_t socket) override {
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::lock_guard lock(mutex_);
    if (stopping_ || open_.size() >= limits_.total) {
      // Full: closed at once, so that the load balancer goes elsewhere.
      ::close(socket);
      return true;
    }
    Connection &connection = open_[socket];
    connection.socket = socket;
    Idle(&connection, EPOLL_CTL_ADD);
    return true;
  }

  static size_t Index(PeerKind kind) { return static_cast<size_t>(kind); }

  double IdleS(const Connection &connection) const {
    if (!connection.counted) return kRequestReadTimeoutS;
    return connection.kind == PeerKind::kWorker ? limits_.worker_idle_s
                                                : kIdleConnectionTimeoutS;
  }

  // The list it waits in; within one all have the same time to do so.
  std::list<Connection *> &Waiting(const Connection &connection) {
    return connection.counted ? idle_[Index(connection.kind)] : unknown_;
  }

  void Idle(Connection *connection, int operation) {
    std::list<Connection *> &list = Waiting(*connection);
    connection->idle_since = Now();
    connection->waiting = true;
    connection->place = list.insert(list.end(), connection);
    epoll_event event{};
    event.events = EPOLLIN | EPOLLONESHOT;
    event.data.fd = connection->socket;
    if (epoll_ctl(poll_, operation, connection->socket, &event) != 0) {
      list.erase(connection->place);
      Close(connection);
    }
  }

  // It waits in no list, or has been taken out of it.
  void Close(Connection *connection) {
    if (connection->counted) --counts_[Index(connection->kind)];
    const int socket = connection->socket;
    open_.erase(socket);
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
  }

  void CloseIdle() {
    const double now = Now();
    for (std::list<Connection *> *list :
         {&unknown_, &idle_[0], &idle_[1], &idle_[2]}) {
      while (!list->empty() &&
             now - list->front()->idle_since > IdleS(*list->front())) {
        Connection *connection = list->front();
        list->pop_front();
        Close(connection);
      }
    }
  }

  // One thread polls all connections that wait for their next request, and
  // hands those that have one to the threads that read and answer.
  void WatchIdle() {
    std::array<epoll_event, kMaxPollEvents> events;
    double next_close = Now() + kRequestReadTimeoutS;
    for (;;) {
      const int count =
          epoll_wait(poll_, events.data(), kMaxPollEvents,
                     static_cast<int>(kRequestReadTimeoutS * 1000));
      std::lock_guard lock(mutex_);
      if (stopping_) break;
      for (int i = 0; i < count; ++i) {
        // The event may be of an earlier connection with this number: a new one
        // is then looked at in vain, and one that is in hand is left alone.
        auto it = open_.find(events[static_cast<size_t>(i)].data.fd);
        if (it == open_.end() || !it->second.waiting) continue;
        Connection *connection = &it->second;
        connection->waiting = false;
        Waiting(*connection).erase(connection->place);
        queue_[Index(connection->kind)].push_back(connection);
        Wake();
      }
      if (Now() >= next_close) {
        next_close = Now() + 1;
        CloseIdle();
      }
    }
    EndThread();
  }

  // --- Threads
  // For one more request in hand. Where no thread can be had, those that there
  // are get to it; where there are none, nobody does, and they are closed.
  void Wake() {
    size_t queued = 0;
    for (const auto &queue : queue_) queued += queue.size();
    // Also where more is queued than they can take: what fills the queue may be
    // of a kind whose share is in use, and this of another.
    if (idle_threads_ > 0) ready_.notify_one();
    if (queued <= idle_threads_) return;
    if (threads_ <= limits_.threads && StartThread([](void *self) -> void * {
          static_cast<Impl *>(self)->AnswerRequests();
          return nullptr;
        }))
      return;
    if (threads_ > 1) return;
    for (auto &queue : queue_) {
      for (Connection *connection : queue) Close(connection);
      queue.clear();
    }
  }

  // The mutex is held, but for the first thread.
  bool StartThread(void *(*run)(void *)) {
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, kConnectionThreadStackBytes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    pthread_t thread;
    const bool started = pthread_create(&thread, &attributes, run, this) == 0;
    pthread_attr_destroy(&attributes);
    if (started) ++threads_;
    return started;
  }
  void EndThread() {
    if (--threads_ == 0) ended_.notify_all();
  }

  // How many requests of a kind may be in hand: each has its share of the
  // threads, so that users who wait for the state service, or peers that send
  // half a request, leave threads to the workers.
  size_t Share(PeerKind kind) const {
    const double share = kind == PeerKind::kWorker ? kWorkerThreadShare
                         : kind == PeerKind::kUser
                             ? kUserThreadShare
                             : 1 - kWorkerThreadShare - kUserThreadShare;
    return static_cast<size_t>(std::max(
        1L, std::lround(static_cast<double>(limits_.threads) * share)));
  }

  Connection *Next() {
    for (const PeerKind kind :
         {PeerKind::kOther, PeerKind::kWorker, PeerKind::kUser}) {
      auto &queue = queue_[Index(kind)];
      if (queue.empty() || busy_[Index(kind)] >= Share(kind)) continue;
      Connection *connection = queue.front();
      queue.pop_front();
      ++busy_[Index(kind)];
      return connection;
    }
    return nullptr;
  }

  void AnswerRequests() {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
      Connection *connection = Next();
      if (!connection) {
        ++idle_threads_;
        ready_.wait(lock);
        --idle_threads_;
        continue;
      }
      lock.unlock();
      const bool keep = ServeConnection(connection);
      lock.lock();
      --busy_[Index(connection->kind)];
      if (keep && !stopping_)
        Idle(connection, EPOLL_CTL_MOD);
      else
        Close(connection);
    }
    EndThread();
  }

  // Answers what has been asked on the connection; whether it stays open.
  bool ServeConnection(Connection *connection) {
    BufferedStream stream(connection->socket);
    if (!stream.Begin()) return stream.spurious();
    peer = connection;
    bool closed = false;
    do {
      stream.Restart();
      const bool answered =
          process_request(stream, false, closed, [](httplib::Request &request) {
            if (request.target.empty()) request.target = request.path;
            request.path = "/";
          });
      if (!stream.Flush() || !answered || connection->close) closed = true;
    } while (!closed && stream.has_buffered());
    peer = nullptr;
    return !closed;
  }

  // The first request tells who it is. Where its kind has no connection or no
  // thread left it is told so.
  bool Admit(PeerKind kind) {
    const size_t most = kind == PeerKind::kWorker ? limits_.workers
                        : kind == PeerKind::kUser ? limits_.users
                                                  : limits_.total;
    std::lock_guard lock(mutex_);
    size_t &count = counts_[Index(kind)];
    if (count >= most && kind == PeerKind::kWorker) CloseStaleWorker();
    if (count >= most ||
        (kind != PeerKind::kOther && busy_[Index(kind)] >= Share(kind)))
      return false;
    ++count;
    --busy_[Index(peer->kind)];
    ++busy_[Index(kind)];
    peer->counted = true;
    peer->kind = kind;
    // Its place among those who have not asked yet is free for the next.
    if (!queue_[Index(PeerKind::kOther)].empty()) Wake();
    return true;
  }

  // The worker that has been quiet for longest makes room, if it has missed
  // reports: guards against connections to a zone that was cut off
  // shutting out its workers when they come back.
  void CloseStaleWorker() {
    auto &workers = idle_[Index(PeerKind::kWorker)];
    if (workers.empty()) return;
    Connection *connection = workers.front();
    if (Now() - connection->idle_since < limits_.worker_stale_s) return;
    workers.pop_front();
    Close(connection);
  }

  Endpoint endpoint_;
  ConnectionLimits limits_;
  PeerClassifier classify_;
  HttpHandler handler_;
  int port_ = 0;
  int poll_ = -1, wake_ = -1;

  std::mutex mutex_;
  std::condition_variable ready_, ended_;
  bool stopping_ = false;
  std::unordered_map<int, Connection> open_;  // by socket
  // Waiting for a request, the longest first: those who have not asked yet,
  // and the others by PeerKind.
  std::list<Connection *> unknown_;
  std::array<std::list<Connection *>, 3> idle_;
  std::array<std::deque<Connection *>, 3>
      queue_;                       // with a request, by PeerKind
  std::array<size_t, 3> busy_{};    // requests in hand, by PeerKind
  std::array<size_t, 3> counts_{};  // connections, by PeerKind
  size_t threads_ = 0, idle_threads_ = 0;
};

HttpServer::HttpServer(const Endpoint &endpoint, const ConnectionLimits &limits,
                       PeerClassifier classify, HttpHandler handler)
    : impl_(std::make_unique<Impl>(endpoint, limits, std::move(classify),
                                   std::move(handler))) {}
HttpServer::~HttpServer() = default;
bool HttpServer::Bind() { return impl_->Bind(); }
void HttpServer::Serve() { impl_->Serve(); }
void HttpServer::Stop() { impl_->CloseAll(); }
int HttpServer::port() const { return impl_->port(); }

}  // namespace sorrelwood
