// Records when each task ran on which fake worker, for checks after a run.
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace sorrelwood::test {

// Returns seconds of the steady clock, which all fakes of a process share.
double Now();

struct ExecutionEvent {
  double at_s = 0;
  std::string machine, task;
  bool starts = false;  // false: the task left the machine
};

// Thread-safe. Keeps events in order of occurrence.
class ExecutionHistory {
 public:
  void Add(const std::string& machine, const std::string& task, bool starts);

  // Describes each task that was on two machines at once, with both machines.
  std::vector<std::string> FindConcurrentExecutions() const;
  size_t CountStarts() const;
  std::vector<ExecutionEvent> events() const;
  // Number of tasks now on each machine.
  std::map<std::string, int> CountTasksByMachine() const;

 private:
  mutable std::mutex mutex_;
  std::vector<ExecutionEvent> events_;
};

}  // namespace sorrelwood::test
