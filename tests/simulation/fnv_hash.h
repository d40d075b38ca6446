// The 64-bit FNV-1a hash.
#pragma once

#include <cstddef>
#include <cstdint>

namespace sorrelwood::test {

class FnvHash {
 public:
  void Add(const void* data, size_t size) {
    constexpr uint64_t kPrime = 1099511628211ULL;
    const auto* bytes = static_cast<const unsigned char*>(data);
    for (size_t i = 0; i < size; ++i) hash_ = (hash_ ^ bytes[i]) * kPrime;
  }
  uint64_t value() const { return hash_; }

 private:
  uint64_t hash_ = 14695981039346656037ULL;
};

}  // namespace sorrelwood::test
