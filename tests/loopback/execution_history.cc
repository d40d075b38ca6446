#include "loopback/execution_history.h"

#include <algorithm>
#include <chrono>

namespace sorrelwood::test {

double Now() {
  return std::chrono::duration<double>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void ExecutionHistory::Add(const std::string& machine, const std::string& task,
                           bool starts) {
  std::lock_guard lock(mutex_);
  events_.push_back({Now(), machine, task, starts});
}

std::vector<std::string> ExecutionHistory::ConcurrentExecutions() const {
  std::lock_guard lock(mutex_);
  std::map<std::string, std::string> on;  // task -> machine
  std::vector<std::string> twice;
  for (const ExecutionEvent& event : events_) {
    const auto there = on.find(event.task);
    if (!event.starts) {
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

size_t ExecutionHistory::StartCount() const {
  std::lock_guard lock(mutex_);
  return static_cast<size_t>(
      std::count_if(events_.begin(), events_.end(),
                    [](const ExecutionEvent& event) { return event.starts; }));
}

std::map<std::string, int> ExecutionHistory::RunningTasksByMachine() const {
  std::lock_guard lock(mutex_);
  std::map<std::string, int> tasks;
  for (const ExecutionEvent& event : events_)
    tasks[event.machine] += event.starts ? 1 : -1;
  return tasks;
}

}  // namespace sorrelwood::test
