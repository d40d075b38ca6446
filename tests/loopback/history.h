// What stand-in workers did, and the checks on it after a run.
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace sorrelwood::test {

// Seconds of the steady clock, the same in all stand-ins of a process.
double Now();

struct HistoryEvent {
  double at_s = 0;
  std::string machine, task;
  bool begins = false;  // it has its image; otherwise it has left the machine
};

// Thread-safe. Events stand in the order in which they happened.
class History {
 public:
  void Add(const std::string& machine, const std::string& task, bool begins);

  // Tasks that were on two machines at once, each with both machines.
  std::vector<std::string> RanTwice() const;
  size_t starts() const;
  // Tasks on each machine now.
  std::map<std::string, int> TasksByMachine() const;

 private:
  mutable std::mutex mutex_;
  std::vector<HistoryEvent> events_;
};

}  // namespace sorrelwood::test
