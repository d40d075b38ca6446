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

  // Records a message over a size limit of the protocol, sent by or to the
  // worker of the machine.
  void AddOversizedMessage(const std::string& machine, const std::string& kind,
                           size_t bytes);
  std::vector<std::string> oversized_messages() const;

  // Describes each task that was on two machines at once, with both machines.
  std::vector<std::string> FindConcurrentExecutions() const;
  size_t CountStarts() const;
  // Tasks of the job that were started, and that are on a machine now.
  size_t CountStartsOf(const std::string& job) const;
  int CountPresent(const std::string& job) const;
  std::vector<ExecutionEvent> events() const;
  // Number of tasks now on each machine.
  std::map<std::string, int> CountTasksByMachine() const;

 private:
  mutable std::mutex mutex_;
  std::vector<ExecutionEvent> events_;
  std::vector<std::string> oversized_messages_;
};

}  // namespace sorrelwood::test
