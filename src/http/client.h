// A blocking HTTP client that reuses one connection. It closes the connection
// after any failure, so that a late response can't be mistaken for the response
// to the next request.
#pragma once

#include <memory>
#include <string>

namespace httplib {
class Client;
}

namespace sorrelwood {

struct HttpResult {
  int status = 0;         // 0: no response was received
  bool not_sent = false;  // no connection, so the server got no request
  std::string body;
};

// Not thread-safe.
class HttpClient {
 public:
  // `address` is "IP:port". `timeout_s` applies to connecting, reading and
  // writing separately.
  HttpClient(const std::string& address, double timeout_s);
  ~HttpClient();

  HttpResult Get(const std::string& path);
  // `body` is JSON.
  HttpResult Post(const std::string& path, const std::string& body);

 private:
  // Creates the client if there is none.
  httplib::Client& GetOrCreateClient();

  std::string address_;
  double timeout_s_;
  std::unique_ptr<httplib::Client> client_;  // null after a failure
};

}  // namespace sorrelwood
