#include "core/balance/image_affinity.h"

#include <xxhash.h>

namespace sorrelwood {

uint64_t ImageAffinityRank(const std::string& image,
                           const std::string& machine) {
  const XXH64_hash_t image_hash = XXH3_64bits(image.data(), image.size());
  return XXH3_64bits_withSeed(machine.data(), machine.size(), image_hash);
}

}  // namespace sorrelwood
