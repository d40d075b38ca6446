// cpp-httplib's server with its own connection loop: one small-stack thread a
// connection, blocked in a single poll while the connection is idle.
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

class HttpServer {
 public:
  HttpServer(const Endpoint& endpoint, size_t max_connections,
             HttpHandler handler);
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
