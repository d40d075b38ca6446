#include "http/client.h"

#include <httplib.h>

#include <chrono>

#include "http/endpoint.h"

namespace sorrelwood {
namespace {

// Converts the library's result, and closes the client's connection if the
// request has failed.
HttpResult ConvertResult(httplib::Result library_result,
                         std::unique_ptr<httplib::Client>* client) {
  HttpResult result;
  if (library_result) {
    result.status = library_result->status;
    result.body = std::move(library_result->body);
    return result;
  }
  result.not_sent = library_result.error() == httplib::Error::Connection ||
                    library_result.error() == httplib::Error::ConnectionTimeout;
  client->reset();
  return result;
}

}  // namespace

HttpClient::HttpClient(const std::string& address, double timeout_s)
    : address_(address), timeout_s_(timeout_s) {}

HttpClient::~HttpClient() = default;

httplib::Client& HttpClient::GetOrCreateClient() {
  if (!client_) {
    Endpoint endpoint;
    ParseEndpoint(address_, &endpoint);
    client_ = std::make_unique<httplib::Client>(endpoint.host, endpoint.port);
    // Mapping the address to itself prevents a name lookup in the library.
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

HttpResult HttpClient::Get(const std::string& path) {
  return ConvertResult(GetOrCreateClient().Get(path.c_str()), &client_);
}

HttpResult HttpClient::Post(const std::string& path, const std::string& body) {
  return ConvertResult(
      GetOrCreateClient().Post(path.c_str(), body, "application/json"),
      &client_);
}

}  // namespace sorrelwood
