#include "loopback/history.h"

#include <algorithm>
#include <chrono>

namespace sorrelwood::test {

double Now() {
  return std::chrono::duration<double>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void History::Add(const std::string& machine, const std::string& task,
                  bool begins) {
  std::lock_guard lock(mutex_);
  events_.push_back({Now(), machine, task, begins});
}

std::vector<std::string> History::RanTwice() const {
  std::lock_guard lock(mutex_);
  std::map<std::string, std::string> on;  // task -> machine
  std::vector<std::string> twice;
  for (const HistoryEvent& event : events_) {
    const auto there = on.find(event.task);
    if (!event.begins) {
      if (there != on.end() && there->second == event.machine) on.erase(there);
    } else if (there == on.end()) {
      on[event.task] = event.machine;
    } else {
      twice.push_back(event.task + " on " + there->second + " and " +
                      event.machine);
    }
  }
  return twice;
}

size_t History::starts() const {
  std::lock_guard lock(mutex_);
  return static_cast<size_t>(
      std::count_if(events_.begin(), events_.end(),
                    [](const HistoryEvent& event) { return event.begins; }));
}

std::map<std::string, int> History::TasksByMachine() const {
  std::lock_guard lock(mutex_);
  std::map<std::string, int> tasks;
  for (const HistoryEvent& event : events_)
    tasks[event.machine] += event.begins ? 1 : -1;
  return tasks;
}

}  // namespace sorrelwood::test
