// When tasks were on which fake worker, and the checks on it after a run.
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace sorrelwood::test {

// Seconds of the steady clock, which all fakes of a process share.
double Now();

struct ExecutionEvent {
  double at_s = 0;
  std::string machine, task;
  bool starts = false;  // else it has left the machine
};

// Thread-safe. Events stand in the order in which they happened.
class ExecutionHistory {
 public:
  void Add(const std::string& machine, const std::string& task, bool starts);

  // Tasks that were on two machines at once, each with both machines.
  std::vector<std::string> ConcurrentExecutions() const;
  size_t StartCount() const;
  // Tasks on each machine now.
  std::map<std::string, int> RunningTasksByMachine() const;

 private:
  mutable std::mutex mutex_;
  std::vector<ExecutionEvent> events_;
};

}  // namespace sorrelwood::test
