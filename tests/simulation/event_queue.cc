#include "simulation/event_queue.h"

#include <algorithm>
#include <utility>

namespace sorrelwood::test {

void EventQueue::At(double time_s, Event event) {
  events_.push({time_s, next_order_++, std::move(event)});
}

Event EventQueue::TakeNext() {
  const ScheduledEvent next = events_.top();
  events_.pop();
  // An event that was scheduled in the past runs now.
  now_ = std::max(now_, next.time_s);
  return next.event;
}

}  // namespace sorrelwood::test
