// A blocking HTTP client that keeps one connection and drops it after any
// failure, so that a late answer is never taken for the next request's.
#pragma once

#include <memory>
#include <string>

namespace httplib {
class Client;
}

namespace sorrelwood {

struct HttpAnswer {
  int status = 0;         // 0: no answer
  bool not_sent = false;  // with 0: certainly never reached the peer
  std::string body;
};

class HttpClient {
 public:
  HttpClient(const std::string& address, double timeout_s);
  ~HttpClient();

  HttpAnswer Get(const std::string& path);
  HttpAnswer Post(const std::string& path, const std::string& body);

 private:
  httplib::Client& Connection();

  std::string address_;
  double timeout_s_;
  std::unique_ptr<httplib::Client> client_;
};

}  // namespace sorrelwood
