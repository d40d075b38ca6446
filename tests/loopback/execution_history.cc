#include "loopback/execution_history.h"

#include <algorithm>
#include <chrono>

namespace sorrelwood::test {
namespace {

bool IsTaskOf(const ExecutionEvent& event, const std::string& job) {
  return event.task.rfind(job + "/", 0) == 0;
}

}  // namespace

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

void ExecutionHistory::AddOversizedMessage(const std::string& machine,
                                           const std::string& kind,
                                           size_t bytes) {
  std::lock_guard lock(mutex_);
  oversized_messages_.push_back(kind + " of " + std::to_string(bytes) +
                                " bytes, worker of " + machine);
}

std::vector<std::string> ExecutionHistory::oversized_messages() const {
  std::lock_guard lock(mutex_);
  return oversized_messages_;
}

std::vector<std::string> ExecutionHistory::FindConcurrentExecutions() const {
  std::lock_guard lock(mutex_);
  std::map<std::string, std::string> machine_of_task;
  std::vector<std::string> concurrent;
  for (const ExecutionEvent& event : events_) {
    const auto current = machine_of_task.find(event.task);
    if (!event.starts) {
      if (current != machine_of_task.end() && current->second == event.machine)
        machine_of_task.erase(current);
    } else if (current == machine_of_task.end()) {
      machine_of_task[event.task] = event.machine;
    } else {
      concurrent.push_back(event.task + " on " + current->second + " and " +
                           event.machine);
    }
  }
  return concurrent;
}

size_t ExecutionHistory::CountStarts() const {
  std::lock_guard lock(mutex_);
  return static_cast<size_t>(
      std::count_if(events_.begin(), events_.end(),
                    [](const ExecutionEvent& event) { return event.starts; }));
}

size_t ExecutionHistory::CountStartsOf(const std::string& job) const {
  std::lock_guard lock(mutex_);
  return static_cast<size_t>(std::count_if(
      events_.begin(), events_.end(), [&](const ExecutionEvent& event) {
        return event.starts && IsTaskOf(event, job);
      }));
}

int ExecutionHistory::CountPresent(const std::string& job) const {
  std::lock_guard lock(mutex_);
  int present = 0;
  for (const ExecutionEvent& event : events_)
    if (IsTaskOf(event, job)) present += event.starts ? 1 : -1;
  return present;
}

std::vector<ExecutionEvent> ExecutionHistory::events() const {
  std::lock_guard lock(mutex_);
  return events_;
}

std::map<std::string, int> ExecutionHistory::CountTasksByMachine() const {
  std::lock_guard lock(mutex_);
  std::map<std::string, int> tasks;
  for (const ExecutionEvent& event : events_)
    tasks[event.machine] += event.starts ? 1 : -1;
  return tasks;
}

}  // namespace sorrelwood::test
