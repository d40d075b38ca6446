// The server of cpp-httplib with its own connection handling. One thread polls
// all idle connections; a bounded number of threads with small stacks reads and
// answers requests, each one request at a time. So idle connections need no
// thread: only the socket limit bounds them, and the number of threads depends
// on the concurrent requests.
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

struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  double retry_after_s = 0;  // rounded up to whole seconds; 0: no header
};

// Called by several threads at once; may block.
using HttpHandler = std::function<HttpResponse(const HttpRequest&)>;

class HttpServer {
 public:
  HttpServer(const Endpoint& endpoint, const ConnectionLimits& limits,
             ClientClassifier classify, HttpHandler handler);
  ~HttpServer();

  // False if the address can't be listened on.
  bool Bind();
  // Serves until Stop. All threads of the server have ended when it returns.
  void Serve();
  // May be called once, by any thread.
  void Stop();
  // The bound port; the system chooses it if the endpoint's port is 0.
  int port() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sorrelwood
