// cpp-httplib's server with its own connection loop. One thread polls all idle
// connections; a bounded number of threads with small stacks reads and answers
// requests, one at a time each. So sockets bound the connections, and threads
// are bounded by the requests in hand.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http/endpoint.h"

namespace sorrelwood {

struct HttpRequest {
  std::string method, path, body;
};
struct HttpReply {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  double retry_after_s = 0;
};
using HttpHandler = std::function<HttpReply(const HttpRequest&)>;

// Who connects, each with a share of its own, so that none shuts out another.
// Probes and whoever has not asked yet have what the shares leave of the total.
enum class PeerKind { kWorker, kUser, kOther };
struct ConnectionLimits {
  size_t total = 0, workers = 0, users = 0;
  double worker_idle_s = 0;   // a worker that is quiet for so long is gone
  double worker_stale_s = 0;  // and for so long makes room for another
  size_t threads = 0;         // that read and answer requests
};
using PeerClassifier = std::function<PeerKind(const std::string& path)>;

class HttpServer {
 public:
  HttpServer(const Endpoint& endpoint, const ConnectionLimits& limits,
             PeerClassifier classify, HttpHandler handler);
  ~HttpServer();

  bool Bind();   // false: the address can't be had
  void Serve();  // returns after Stop
  void Stop();
  int port() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sorrelwood
