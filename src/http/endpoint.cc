#include "http/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace sorrelwood {

bool ParseEndpoint(const std::string& text, Endpoint* endpoint) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  endpoint->host = text.substr(0, colon);
  in_addr address;
  if (inet_pton(AF_INET, endpoint->host.c_str(), &address) != 1) return false;
  const char* begin = text.data() + colon + 1;
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(begin, end, endpoint->port);
  return error == std::errc() && parsed_end == end && endpoint->port >= 0 &&
         endpoint->port <= 65535;
}

}  // namespace sorrelwood
