// A TCP address given as "IP:port".
#pragma once

#include <string>

namespace sorrelwood {

struct Endpoint {
  std::string host;
  int port = 0;
};

// Parses an IPv4 address and a port from 0 to 65535. False if `text` is
// anything else; `endpoint` is then partly set.
bool ParseEndpoint(const std::string& text, Endpoint* endpoint);

}  // namespace sorrelwood
