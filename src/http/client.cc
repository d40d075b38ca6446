#include "http/client.h"

#include <httplib.h>

#include <chrono>

#include "http/endpoint.h"

namespace sorrelwood {
namespace {

HttpAnswer Convert(httplib::Result result,
                   std::unique_ptr<httplib::Client>* client) {
  HttpAnswer answer;
  if (result) {
    answer.status = result->status;
    answer.body = std::move(result->body);
    return answer;
  }
  answer.not_sent = result.error() == httplib::Error::Connection ||
                    result.error() == httplib::Error::ConnectionTimeout;
  client->reset();
  return answer;
}

}  // namespace

HttpClient::HttpClient(const std::string& address, double timeout_s)
    : address_(address), timeout_s_(timeout_s) {}

HttpClient::~HttpClient() = default;

httplib::Client& HttpClient::Connection() {
  if (!client_) {
    Endpoint endpoint;
    ParseEndpoint(address_, &endpoint);
    client_ = std::make_unique<httplib::Client>(endpoint.host, endpoint.port);
    // A mapped address keeps the library from looking the name up.
    client_->set_hostname_addr_map({{endpoint.host, endpoint.host}});
    const auto timeout =
        std::chrono::milliseconds(static_cast<int64_t>(timeout_s_ * 1000));
    client_->set_connection_timeout(timeout);
    client_->set_read_timeout(timeout);
    client_->set_write_timeout(timeout);
    client_->set_keep_alive(true);
    client_->set_tcp_nodelay(true);
  }
  return *client_;
}

HttpAnswer HttpClient::Get(const std::string& path) {
  return Convert(Connection().Get(path.c_str()), &client_);
}

HttpAnswer HttpClient::Post(const std::string& path, const std::string& body) {
  return Convert(Connection().Post(path.c_str(), body, "application/json"),
                 &client_);
}

}  // namespace sorrelwood
