// The preferred machines of an image, by a hash that all controllers share.
#pragma once

#include <cstdint>
#include <string>

namespace sorrelwood {

// Returns the rank of the machine for the image by rendezvous hashing: among
// otherwise equal machines the one with the lowest rank runs the image's tasks.
// Only few machines then have to fetch the image, also under a new leader,
// which does not know what the machines have cached. A machine that is added or
// removed does not change the order of the others.
uint64_t ImageAffinityRank(const std::string& image,
                           const std::string& machine);

}  // namespace sorrelwood
