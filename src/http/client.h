// A blocking HTTP client that keeps one connection and drops it after any
// failure, so that a late response is never taken for the next request's.
#pragma once

#include <memory>
#include <string>

namespace httplib {
class Client;
}

namespace sorrelwood {

struct HttpAnswer {
  int status = 0;         // 0: no response
  bool not_sent = false;  // with 0: certainly never reached the server
  std::string body;
};

// For one thread.
class HttpClient {
 public:
  // `address` is "IP:port"; connecting, reading and writing may take
  // `timeout_s` each.
  HttpClient(const std::string& address, double timeout_s);
  ~HttpClient();

  HttpAnswer Get(const std::string& path);
  // Sends a JSON body.
  HttpAnswer Post(const std::string& path, const std::string& body);

 private:
  httplib::Client& Connection();

  std::string address_;
  double timeout_s_;
  std::unique_ptr<httplib::Client> client_;  // null: not connected
};

}  // namespace sorrelwood
