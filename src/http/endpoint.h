// A TCP address given as "IP:port".
#pragma once

#include <string>

namespace sorrelwood {

struct Endpoint {
  std::string host;
  int port = 0;
};

// False when `text` is not an IPv4 address and a port.
bool ParseEndpoint(const std::string& text, Endpoint* endpoint);

}  // namespace sorrelwood
