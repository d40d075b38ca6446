// cpp-httplib's server with its own connection loop. One thread polls all idle
// connections; a bounded number of threads with small stacks reads and answers
// requests, one at a time each. So sockets bound the connections, and threads
// are bounded by the requests in hand.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http/connection_limits.h"
#include "http/endpoint.h"

namespace sorrelwood {

struct HttpRequest {
  std::string method;  // "GET" or "POST"
  std::string path;    // without the query
  std::string body;
};

struct HttpReply {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  double retry_after_s = 0;  // rounded up to seconds; 0: no such header
};

// Called by several threads at once; may block.
using HttpHandler = std::function<HttpReply(const HttpRequest&)>;

class HttpServer {
 public:
  HttpServer(const Endpoint& endpoint, const ConnectionLimits& limits,
             ClientClassifier classify, HttpHandler handler);
  ~HttpServer();

  // False when the address can't be had.
  bool Bind();
  // Serves until Stop; all threads of the server have ended when it returns.
  void Serve();
  // May be called by any thread, once.
  void Stop();
  // The port that was bound; of use when the endpoint's is 0.
  int port() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sorrelwood
