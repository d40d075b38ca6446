// Which machines an image belongs to, by a hash that all controllers share.
#pragma once

#include <cstdint>
#include <string>

namespace sorrelwood {

// Rendezvous hashing: among machines that are otherwise equal the one with the
// least rank takes the image's tasks. So they gather on few machines, also
// under a new leader, which does not know what the machines have cached; and a
// machine that comes or goes changes the order of no others.
uint64_t ImageAffinity(const std::string& image, const std::string& machine);

}  // namespace sorrelwood
