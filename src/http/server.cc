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

#include "base/constants/http_connections.h"
#include "base/constants/threads.h"
#include "base/constants/user_requests.h"
#include "concurrency/clocks.h"
#include "concurrency/threads.h"
#include "http/buffered_stream.h"
#include "http/connection_table.h"
#include "http/poller.h"
#include "http/request_queue.h"

namespace sorrelwood {
namespace {

constexpr char kJsonType[] = "application/json";

// The connection that this thread serves. The library passes its handlers only
// the request.
thread_local Connection* current_connection = nullptr;

// Runs the library's tasks on its accepting thread: they only hand the accepted
// socket over (see process_and_close_socket), so they need no other thread.
class InlineTaskQueue : public httplib::TaskQueue {
 public:
  void enqueue(std::function<void()> work) override { work(); }
  void shutdown() override {}
};

void SetError(httplib::Response* response, const char* message) {
  response->set_content(std::string("{\"error\":\"") + message + "\"}",
                        kJsonType);
}

// Tells a client for which there is no connection or thread to retry.
void RefuseConnection(httplib::Response* response) {
  response->status = 503;
  response->set_header("Retry-After", "1");
  response->set_header("Connection", "close");
  SetError(response, "too many connections");
}

void CopyResponse(const HttpResponse& source, httplib::Response* response) {
  response->status = source.status;
  if (source.retry_after_s > 0) {
    const double seconds = std::max(1.0, std::ceil(source.retry_after_s));
    response->set_header("Retry-After", std::to_string(std::lround(seconds)));
  }
  response->set_content(source.body, source.content_type.c_str());
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

// Adds a body to errors that the library itself detects. A body that is too
// large is answered 400 instead of the library's 413.
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
    // The library listens with a backlog of 5; the second call of listen
    // increases it.
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
    all_threads_ended_.wait(lock, [this] { return running_threads_ == 0; });
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
    new_task_queue = [] { return new InlineTaskQueue; };
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
    // All requests arrive with the path "/"; ServeConnection keeps the real one
    // in `target`. The library matches paths with a recursive regular
    // expression, which overflows the stack on long paths.
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
    if (!connection->is_classified &&
        !Admit(connection, classify_(converted.path))) {
      connection->close_after_response = true;
      RefuseConnection(response);
      return;
    }
    CopyResponse(handler_(converted), response);
  }

  // Classifies a connection by its first request. False if no connection or no
  // thread is left for clients of its kind.
  bool Admit(Connection* connection, ClientKind kind) {
    std::lock_guard lock(mutex_);
    if (!connections_.EnsureCapacity(kind, SteadyNow())) return false;
    if (kind != ClientKind::kOther && !requests_.HasFreeThread(kind))
      return false;
    requests_.Reclassify(connection->kind, kind);
    connections_.Classify(connection, kind);
    // This freed a thread of kOther for the next queued request of this kind.
    if (requests_.HasQueued(ClientKind::kOther)) WakeOrStartThread();
    return true;
  }

  // The library calls this with an accepted socket.
  bool process_and_close_socket(socket_t accepted) override {
    FileDescriptor socket(accepted);
    const int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::lock_guard lock(mutex_);
    if (stopping_) return true;
    Connection* connection = connections_.Open(std::move(socket));
    if (!connection) return true;
    if (poller_.Add(accepted))
      connections_.MarkIdle(connection, SteadyNow());
    else
      connections_.Close(connection);
    return true;
  }

  // Runs on one thread, which waits for the next request of every idle
  // connection and queues it for the threads that read and answer requests.
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
    // The event may belong to a closed connection whose descriptor number has
    // been reused. If the new connection is idle, its thread finds no data;
    // otherwise the event is ignored.
    Connection* connection = connections_.FindIdle(socket);
    if (!connection) return;
    connections_.MarkBusy(connection);
    requests_.Push(connection);
    WakeOrStartThread();
  }

  // Wakes an idle thread for a newly queued request, or starts one. If none can
  // be started, the request waits for a running thread; without any running
  // thread all queued connections are closed. The mutex must be held.
  void WakeOrStartThread() {
    // Wakes one even if more requests are queued than threads are idle: the
    // others may be of a kind whose share of threads is in use.
    if (idle_threads_ > 0) request_queued_.notify_one();
    if (requests_.size() <= idle_threads_) return;
    // The thread of PollConnections does not count towards the limit.
    if (running_threads_ <= limits_.threads &&
        StartServerThread("http", [this] { AnswerRequests(); }))
      return;
    if (running_threads_ > 1) return;
    for (Connection* connection : requests_.TakeAll())
      connections_.Close(connection);
  }

  // The mutex must be held.
  bool StartServerThread(const char* name, std::function<void()> work) {
    const bool started =
        StartThread(name, std::move(work), kConnectionThreadStackBytes);
    if (started) ++running_threads_;
    return started;
  }

  // Must be the last call of a server thread, with the mutex held.
  void EndServerThread() {
    if (--running_threads_ == 0) all_threads_ended_.notify_all();
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
      requests_.ReleaseThread(connection->kind);
      if (keep_open && !stopping_)
        WaitForNextRequest(connection);
      else
        connections_.Close(connection);
    }
    EndServerThread();
  }

  // The mutex must be held, so that the poll thread does not handle an event
  // before the connection is marked idle.
  void WaitForNextRequest(Connection* connection) {
    if (poller_.Rearm(connection->socket.get()))
      connections_.MarkIdle(connection, SteadyNow());
    else
      connections_.Close(connection);
  }

  // Answers the requests that have arrived on the connection. Returns whether
  // it stays open.
  bool ServeConnection(Connection* connection) {
    BufferedStream stream(connection->socket.get());
    if (!stream.ReceiveAvailable()) return stream.woke_without_data();
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

  std::mutex mutex_;  // guards all members below
  std::condition_variable request_queued_, all_threads_ended_;
  bool stopping_ = false;
  ConnectionTable connections_;
  RequestQueue requests_;
  size_t running_threads_ = 0;  // with that of PollConnections
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
