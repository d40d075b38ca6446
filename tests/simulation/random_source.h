// The only source of randomness of a run. The order of draws determines the
// run: a draw that is added, removed or moved changes everything after it.
#pragma once

#include <cstdint>
#include <random>

namespace sorrelwood::test {

class RandomSource {
 public:
  explicit RandomSource(uint64_t seed) : engine_(seed) {}

  // In [0, 1).
  double Uniform() { return std::uniform_real_distribution<double>()(engine_); }
  // Always draws, also for a probability of 0.
  bool Chance(double probability) { return Uniform() < probability; }
  uint64_t Integer() { return engine_(); }
  // In [0, bound).
  uint64_t Below(uint64_t bound) { return engine_() % bound; }
  std::mt19937_64& engine() { return engine_; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace sorrelwood::test
