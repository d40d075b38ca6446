// The virtual clock and the events scheduled on it.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace sorrelwood::test {

using Event = std::function<void()>;

class EventQueue {
 public:
  // Seconds since the start of the run.
  double now() const { return now_; }

  // Events of the same time run in the order in which they were scheduled.
  void At(double time_s, Event event);
  void After(double delay_s, Event event) {
    At(now_ + delay_s, std::move(event));
  }

  // Whether an event is scheduled at or before `time_s`.
  bool HasEventBy(double time_s) const {
    return !events_.empty() && events_.top().time_s <= time_s;
  }
  // Removes the next event and advances the clock to its time.
  Event TakeNext();

 private:
  struct ScheduledEvent {
    double time_s = 0;
    uint64_t order = 0;
    Event event;

    // Reversed, because std::priority_queue has its greatest element on top.
    bool operator<(const ScheduledEvent& other) const {
      return time_s != other.time_s ? time_s > other.time_s
                                    : order > other.order;
    }
  };

  double now_ = 0;
  uint64_t next_order_ = 0;
  std::priority_queue<ScheduledEvent> events_;
};

}  // namespace sorrelwood::test
