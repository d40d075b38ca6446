#include "http/server.h"

#include <httplib.h>
#include <netdb.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cmath>
#include <condition_variable>
#include <mutex>
#include <utility>

#include "base/constants.h"
#include "concurrency/clocks.h"
#include "concurrency/threads.h"
#include "http/buffered_stream.h"
#include "http/connection_table.h"
#include "http/poller.h"
#include "http/request_queue.h"

namespace sorrelwood {
namespace {

constexpr char kJsonType[] = "application/json";

// The connection whose request this thread has in hand: the library's handlers
// are told the request alone.
thread_local Connection* current_connection = nullptr;

// The library's accepting thread calls `work` itself: all it does is to hand
// the socket over.
class AcceptingThread : public httplib::TaskQueue {
 public:
  void enqueue(std::function<void()> work) override { work(); }
  void shutdown() override {}
};

void SetError(httplib::Response* response, const char* message) {
  response->set_content(std::string("{\"error\":\"") + message + "\"}",
                        kJsonType);
}

void Refuse(httplib::Response* response) {
  response->status = 503;
  response->set_header("Retry-After", "1");
  response->set_header("Connection", "close");
  SetError(response, "too many connections");
}

void Convert(const HttpReply& reply, httplib::Response* response) {
  response->status = reply.status;
  if (reply.retry_after_s > 0) {
    const double seconds = std::max(1.0, std::ceil(reply.retry_after_s));
    response->set_header("Retry-After", std::to_string(std::lround(seconds)));
  }
  response->set_content(reply.body, reply.content_type.c_str());
}

httplib::Server::HandlerResponse CheckMethod(const httplib::Request& request,
                                             httplib::Response& response) {
  if (request.method == "GET" || request.method == "POST")
    return httplib::Server::HandlerResponse::Unhandled;
  response.status = 405;
  response.set_header("Allow", "GET, POST");
  SetError(&response, "method not allowed");
  return httplib::Server::HandlerResponse::Handled;
}

// Gives the errors that the library finds itself a body.
void DescribeError(const httplib::Request&, httplib::Response& response) {
  if (!response.body.empty()) return;
  if (response.status == 413) {
    response.status = 400;
    SetError(&response, "the body is over 64 KiB");
  } else {
    SetError(&response, "bad request");
  }
}

}  // namespace

class HttpServer::Impl : public httplib::Server {
 public:
  Impl(const Endpoint& endpoint, const ConnectionLimits& limits,
       ClientClassifier classify, HttpHandler handler)
      : endpoint_(endpoint),
        limits_(limits),
        classify_(std::move(classify)),
        handler_(std::move(handler)),
        connections_(limits),
        requests_(limits.threads) {
    ConfigureLibrary();
  }

  bool Bind() {
    if (!poller_.Open()) return false;
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
    {
      std::lock_guard lock(mutex_);
      if (!StartServerThread("http-poll", [this] { PollConnections(); }))
        return;
    }
    listen_after_bind();
    std::unique_lock lock(mutex_);
    all_threads_ended_.wait(lock, [this] { return threads_ == 0; });
    connections_.CloseAll();
  }

  void Stop() {
    stop();
    std::lock_guard lock(mutex_);
    stopping_ = true;
    request_queued_.notify_all();
    connections_.ShutDownAll();
    poller_.Wake();
  }

 private:
  void ConfigureLibrary() {
    new_task_queue = [] { return new AcceptingThread; };
    set_payload_max_length(kMaxRequestBodyBytes);
    set_socket_options([](socket_t socket) {
      const int on = 1;
      setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
    set_pre_routing_handler(CheckMethod);
    const auto respond = [this](const httplib::Request& request,
                                httplib::Response& response) {
      Respond(request, &response);
    };
    // The real path is kept in `target` (see ServeConnection): the library
    // matches paths by a recursive regular expression, which a long one would
    // overflow.
    Get("/", respond);
    Post("/", respond);
    set_error_handler(DescribeError);
  }

  void Respond(const httplib::Request& request, httplib::Response* response) {
    HttpRequest converted;
    converted.method = request.method;
    converted.path = request.target.substr(0, request.target.find('?'));
    converted.body = request.body;
    Connection* connection = current_connection;
    if (!connection->classified &&
        !Admit(connection, classify_(converted.path))) {
      connection->close_after_response = true;
      Refuse(response);
      return;
    }
    Convert(handler_(converted), response);
  }

  // The first request of a connection tells the kind of client. False when its
  // kind has no connection or no thread left.
  bool Admit(Connection* connection, ClientKind kind) {
    std::lock_guard lock(mutex_);
    if (!connections_.MakeRoom(kind, SteadyNow())) return false;
    if (kind != ClientKind::kOther && !requests_.HasThread(kind)) return false;
    requests_.Reclassify(connection->kind, kind);
    connections_.Classify(connection, kind);
    // Its thread among those of unclassified clients is free for the next.
    if (requests_.HasQueued(ClientKind::kOther)) WakeThread();
    return true;
  }

  // Called by the library with a socket that was accepted.
  bool process_and_close_socket(socket_t accepted) override {
    FileDescriptor socket(accepted);
    const int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::lock_guard lock(mutex_);
    if (stopping_) return true;
    Connection* connection = connections_.Open(std::move(socket));
    if (!connection) return true;
    if (poller_.Add(accepted))
      connections_.StartWaiting(connection, SteadyNow());
    else
      connections_.Close(connection);
    return true;
  }

  // One thread waits for the next requests of all connections, and hands those
  // that have one to the threads that read and answer.
  void PollConnections() {
    double next_idle_check = SteadyNow() + kRequestTransferTimeoutS;
    for (;;) {
      const std::vector<int> readable = poller_.Wait(kRequestTransferTimeoutS);
      std::lock_guard lock(mutex_);
      if (stopping_) break;
      for (const int socket : readable) QueueRequest(socket);
      const double now = SteadyNow();
      if (now < next_idle_check) continue;
      next_idle_check = now + kIdleCheckIntervalS;
      connections_.CloseExpired(now);
    }
    std::lock_guard lock(mutex_);
    EndServerThread();
  }

  void QueueRequest(int socket) {
    // The event may be of an earlier connection with this number: a new one is
    // then looked at in vain, and one that is in hand is left alone.
    Connection* connection = connections_.FindWaiting(socket);
    if (!connection) return;
    connections_.StopWaiting(connection);
    requests_.Push(connection);
    WakeThread();
  }

  // Finds a thread for one more request, or starts one. Where none can be had,
  // those that there are get to it; where there are none, nobody does, and the
  // connections are closed. The mutex is held.
  void WakeThread() {
    // Also where more is queued than they can take: what fills the queue may be
    // of a kind whose share is in use, and this of another.
    if (idle_threads_ > 0) request_queued_.notify_one();
    if (requests_.size() <= idle_threads_) return;
    // One thread more than the limit: that of PollConnections.
    if (threads_ <= limits_.threads &&
        StartServerThread("http", [this] { AnswerRequests(); }))
      return;
    if (threads_ > 1) return;
    for (Connection* connection : requests_.TakeAll())
      connections_.Close(connection);
  }

  // The mutex is held.
  bool StartServerThread(const char* name, std::function<void()> work) {
    const bool started =
        StartThread(name, std::move(work), kConnectionThreadStackBytes);
    if (started) ++threads_;
    return started;
  }

  // The last thing that a thread does; the mutex is held.
  void EndServerThread() {
    if (--threads_ == 0) all_threads_ended_.notify_all();
  }

  void AnswerRequests() {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
      Connection* connection = requests_.Pop();
      if (!connection) {
        ++idle_threads_;
        request_queued_.wait(lock);
        --idle_threads_;
        continue;
      }
      lock.unlock();
      const bool keep_open = ServeConnection(connection);
      lock.lock();
      requests_.Finish(connection->kind);
      if (keep_open && !stopping_)
        WaitForNextRequest(connection);
      else
        connections_.Close(connection);
    }
    EndServerThread();
  }

  // The mutex is held, so that the event is not looked at before the connection
  // waits.
  void WaitForNextRequest(Connection* connection) {
    if (poller_.Rearm(connection->socket.get()))
      connections_.StartWaiting(connection, SteadyNow());
    else
      connections_.Close(connection);
  }

  // Answers what has been asked on the connection; whether it stays open.
  bool ServeConnection(Connection* connection) {
    BufferedStream stream(connection->socket.get());
    if (!stream.Begin()) return stream.spurious();
    current_connection = connection;
    bool closed = false;
    do {
      stream.RestartDeadline();
      const bool answered =
          process_request(stream, /*close_connection=*/false, closed,
                          [](httplib::Request& request) {
                            if (request.target.empty())
                              request.target = request.path;
                            request.path = "/";
                          });
      if (!stream.Flush() || !answered || connection->close_after_response)
        closed = true;
    } while (!closed && stream.has_buffered());
    current_connection = nullptr;
    return !closed;
  }

  const Endpoint endpoint_;
  const ConnectionLimits limits_;
  const ClientClassifier classify_;
  const HttpHandler handler_;
  int port_ = 0;
  Poller poller_;

  std::mutex mutex_;  // of all that follows
  std::condition_variable request_queued_, all_threads_ended_;
  bool stopping_ = false;
  ConnectionTable connections_;
  RequestQueue requests_;
  size_t threads_ = 0;
  size_t idle_threads_ = 0;
};

HttpServer::HttpServer(const Endpoint& endpoint, const ConnectionLimits& limits,
                       ClientClassifier classify, HttpHandler handler)
    : impl_(std::make_unique<Impl>(endpoint, limits, std::move(classify),
                                   std::move(handler))) {}
HttpServer::~HttpServer() = default;
bool HttpServer::Bind() { return impl_->Bind(); }
void HttpServer::Serve() { impl_->Serve(); }
void HttpServer::Stop() { impl_->Stop(); }
int HttpServer::port() const { return impl_->port(); }

}  // namespace sorrelwood
