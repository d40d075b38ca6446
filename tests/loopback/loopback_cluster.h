// Real controller processes with a fake state service, a fake cloud and fake
// workers on loopback.
#pragma once

#include <set>
#include <string>

#include "loopback/clients.h"
#include "loopback/controllers.h"
#include "loopback/execution_history.h"
#include "loopback/fake_cloud.h"
#include "loopback/fake_state_service.h"
#include "loopback/fake_worker.h"
#include "loopback/zone_cut.h"

namespace sorrelwood::test {

void Sleep(double seconds);

// Returns whether the condition holds within the timeout; checks it every
// `interval_s`.
template <typename Condition>
bool WaitFor(double timeout_s, Condition condition, double interval_s = 0.1) {
  for (const double deadline_s = Now() + timeout_s; Now() < deadline_s;
       Sleep(interval_s))
    if (condition()) return true;
  return false;
}

class LoopbackCluster {
 public:
  // The cloud provisions at most `machines` machines at once.
  LoopbackCluster(const ControllerOptions& options, int machines);

  // Returns the index of the leader, or -1 if there is none within the timeout.
  // `except`: the index of a leader that has been deposed.
  int WaitForLeader(double timeout_s, int except = -1);
  // Returns whether all jobs are reported as done within the timeout.
  bool WaitUntilAllDone(const std::set<std::string>& jobs, double timeout_s);

  Controllers& controllers() { return controllers_; }
  Clients& clients() { return clients_; }
  const ExecutionHistory& history() const { return history_; }
  const FakeCloud& cloud() const { return cloud_; }
  ZoneCut& zone_cut() { return zone_cut_; }
  FakeStateService& state() { return state_; }

 private:
  ZoneCut zone_cut_;
  TaskProgress progress_;
  ExecutionHistory history_;
  FakeStateService state_;
  FakeCloud cloud_;
  Controllers controllers_;
  Clients clients_;
};

}  // namespace sorrelwood::test
