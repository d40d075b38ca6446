// A set of task numbers stored as ranges, so that a job with 100,000
// consecutive tasks needs little more memory than one with ten.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

namespace sorrelwood {

class IntervalSet {
 public:
  IntervalSet() = default;
  // Contains all numbers in [begin, end). All ranges below exclude their end.
  IntervalSet(uint32_t begin, uint32_t end) { Add(begin, end); }

  void Add(uint32_t number) { Add(number, number + 1); }
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
      auto previous = std::prev(next);
      if (previous->second == begin) {
        previous->second = end;
        return;
      }
    }
    ranges_[begin] = end;
  }

  void Remove(uint32_t number) { Remove(number, number + 1); }
  void Remove(uint32_t begin, uint32_t end) {
    auto range = ranges_.upper_bound(begin);
    if (range != ranges_.begin()) --range;
    while (range != ranges_.end() && range->first < end) {
      const uint32_t range_begin = range->first, range_end = range->second;
      if (range_end <= begin) {
        ++range;
        continue;
      }
      // Removes the whole range, and adds its parts outside [begin, end) again.
      range = ranges_.erase(range);
      size_ -= range_end - range_begin;
      if (range_begin < begin) {
        ranges_[range_begin] = begin;
        size_ += begin - range_begin;
      }
      if (range_end > end) {
        ranges_[end] = range_end;
        size_ += range_end - end;
      }
    }
  }

  bool Contains(uint32_t number) const {
    const auto next = ranges_.upper_bound(number);
    return next != ranges_.begin() && std::prev(next)->second > number;
  }
  // The smallest number, or nothing if the set is empty.
  std::optional<uint32_t> First() const {
    if (ranges_.empty()) return std::nullopt;
    return ranges_.begin()->first;
  }
  // How many numbers the set contains.
  uint32_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  // Maps the begin of each range to its end.
  const std::map<uint32_t, uint32_t>& ranges() const { return ranges_; }

 private:
  std::map<uint32_t, uint32_t> ranges_;  // disjoint, not adjacent
  uint32_t size_ = 0;
};

}  // namespace sorrelwood
