// A set of task numbers kept as ranges, so that an array of 100,000 tasks costs
// little more than one of ten.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

namespace sorrelwood {

class IntervalSet {
 public:
  IntervalSet() = default;
  // All numbers in [begin, end).
  IntervalSet(uint32_t begin, uint32_t end) { Add(begin, end); }

  void Add(uint32_t n) { Add(n, n + 1); }
  void Add(uint32_t begin, uint32_t end) {
    if (begin >= end) return;
    Remove(begin, end);
    size_ += end - begin;
    auto next = ranges_.lower_bound(begin);
    if (next != ranges_.end() && next->first == end) {
      end = next->second;
      next = ranges_.erase(next);
    }
    if (next != ranges_.begin()) {
      auto before = std::prev(next);
      if (before->second == begin) {
        before->second = end;
        return;
      }
    }
    ranges_[begin] = end;
  }

  void Remove(uint32_t n) { Remove(n, n + 1); }
  void Remove(uint32_t begin, uint32_t end) {
    auto it = ranges_.upper_bound(begin);
    if (it != ranges_.begin()) --it;
    while (it != ranges_.end() && it->first < end) {
      const uint32_t first = it->first, last = it->second;
      if (last <= begin) {
        ++it;
        continue;
      }
      it = ranges_.erase(it);
      size_ -= last - first;
      if (first < begin) {
        ranges_[first] = begin;
        size_ += begin - first;
      }
      if (last > end) {
        ranges_[end] = last;
        size_ += last - end;
      }
    }
  }

  bool Contains(uint32_t n) const {
    auto it = ranges_.upper_bound(n);
    return it != ranges_.begin() && std::prev(it)->second > n;
  }
  std::optional<uint32_t> First() const {
    if (ranges_.empty()) return std::nullopt;
    return ranges_.begin()->first;
  }
  uint32_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  const std::map<uint32_t, uint32_t>& ranges() const { return ranges_; }

 private:
  std::map<uint32_t, uint32_t> ranges_;  // begin -> end, disjoint, not touching
  uint32_t size_ = 0;
};

}  // namespace sorrelwood
