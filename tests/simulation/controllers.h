// The controller processes: their starts and crashes, the inputs delivered to
// them, and the time at which their actions are sent.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/controller/controller.h"
#include "simulation/event_queue.h"

namespace sorrelwood::test {

class SimulatedCluster;

// A process of a controller. An input for a process that has ended is lost,
// even if the controller has restarted.
struct ProcessId {
  int controller = 0;
  int generation = 0;  // counts the processes of the controller
};

struct ControllerProcess {
  std::unique_ptr<Controller> controller;
  int generation = 0;
  bool up = false;
  std::string zone;
  double clock_rate = 1;  // speed of its steady clock
  // Whether it runs the version that supports the upcoming limits of the state
  // service.
  bool supports_upcoming_limits = true;

  // Injected faults, each with the time at which it ends (s).
  double state_refused_until_s = 0;
  double partitioned_from_workers_until_s = 0;
  double partitioned_from_peers_until_s = 0;
  double partitioned_until_s = 0;
  double paused_until_s = 0;

  // Requests to the state service that the injected faults delay or refuse.
  bool next_job_listing_late = false;
  double job_reads_late_until_s = 0;
  double final_reads_refused_until_s = 0;
  double watches_late_until_s = 0;
};

class SimulatedControllers {
 public:
  using Input = std::function<Actions(Controller&, Controller::Time)>;

  explicit SimulatedControllers(SimulatedCluster& cluster)
      : cluster_(cluster) {}

  // Creates the controllers; each starts within the first tenth of a second.
  void CreateAll();
  // Kills one controller after the other; each restarts in the version that
  // supports the upcoming limits of the state service.
  void ScheduleRollingUpgrade();
  void Start(int index);
  // Ends the process; a new one starts after 0.2 to 1.2 times `restart_s`.
  void Crash(int index, double restart_s);

  // Delivers the input to the process, after its pause if it is paused.
  void Deliver(ProcessId id, const Input& input);
  // Delivers the result of a request of the process.
  template <typename Result>
  void DeliverResult(ProcessId id, const Result& result) {
    Deliver(id, [result](Controller& controller, Controller::Time time) {
      return controller.Deliver(time, result);
    });
  }

  int size() const { return static_cast<int>(processes_.size()); }
  ControllerProcess& process(int index) { return processes_[index]; }
  const ControllerProcess& process(int index) const {
    return processes_[index];
  }
  // The running process of the controller, or else its last one.
  ProcessId CurrentProcess(int index) const {
    return {index, processes_[index].generation};
  }
  // Draws the controller that a client or a new worker sends a request to.
  int DrawIndex();
  // Whether requests of clients reach the controller.
  bool IsReachableByClients(int index) const;
  bool IsPartitioned(int index) const;
  // The index of the leader; -1: none.
  int LeaderIndex() const;
  // The controller's steady clock (s).
  double SteadyClock(int index) const;

 private:
  void Tick(ProcessId id);
  void RecordStatistics(int index);
  void HandleActions(int index, Actions actions);
  // Runs the event when the process has sent it: after the process's pause, if
  // it is paused; never, if the process has ended.
  void SendLater(int index, const Event& event);
  void CountReleaseOfHealthyMachine(const LogEvent& event);

  SimulatedCluster& cluster_;
  std::vector<ControllerProcess> processes_;
  std::set<uint64_t> terms_seen_;
};

}  // namespace sorrelwood::test
