// A cluster in one process: real controllers with a simulated state service,
// cloud, workers and clients on a virtual clock. All randomness comes from one
// seed. The simulation tracks what runs on each machine and checks the
// invariants of the protocol.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/model/machine_type.h"
#include "core/model/settings.h"
#include "simulation/action_digest.h"
#include "simulation/action_dispatcher.h"
#include "simulation/active_faults.h"
#include "simulation/clients.h"
#include "simulation/cloud.h"
#include "simulation/cloud_network.h"
#include "simulation/controllers.h"
#include "simulation/event_queue.h"
#include "simulation/fault_injector.h"
#include "simulation/heartbeats.h"
#include "simulation/invariants/invariant_checker.h"
#include "simulation/log_summary.h"
#include "simulation/options.h"
#include "simulation/random_source.h"
#include "simulation/state_network.h"
#include "simulation/state_service.h"
#include "simulation/statistics.h"
#include "simulation/task_execution.h"
#include "simulation/workers.h"

namespace sorrelwood::test {

class SimulatedCluster {
 public:
  explicit SimulatedCluster(const SimulationOptions& options);
  SimulatedCluster(const SimulatedCluster&) = delete;
  SimulatedCluster& operator=(const SimulatedCluster&) = delete;

  // Runs to the end, or until there are too many violations.
  void Run();

  // Violated invariants, each with its time.
  const std::vector<std::string>& violations() const { return violations_; }
  const SimulationStatistics& statistics() const { return statistics_; }
  // The digest of all actions of all controllers so far.
  uint64_t digest() const { return digest_.value(); }
  const LogSummary& log_summary() const { return log_summary_; }

  // --- For the components of the simulation --------------------------------

  const SimulationOptions& options() const { return options_; }
  const ClusterSettings& settings() const { return settings_; }
  const std::vector<MachineType>& machine_types() const {
    return machine_types_;
  }
  const MachineType& machine_type(const std::string& name) const;
  // The CPU limit of a team; 0: no such team.
  double TeamCpuLimit(const std::string& team) const;

  double now() const { return events_.now(); }
  EventQueue& events() { return events_; }
  RandomSource& random() { return random_; }
  ActiveFaults& faults() { return faults_; }
  // Whether the fault is active and affects the current message or job; draws
  // only if it is active.
  bool DrawHit(const PartialFault& fault) {
    return now() < fault.until_s && random_.Chance(fault.share);
  }
  // Draws the latency (s) of a message on a healthy network.
  double DrawNetworkLatency() { return 0.002 + 0.01 * random_.Uniform(); }
  // Clients and workers number their requests from one counter.
  uint64_t NextRequestId() { return next_request_++; }
  // When the last injected fault ends (s).
  double faults_end_s() const { return faults_end_s_; }
  // Whether messages are lost so often that progress is not guaranteed.
  bool NetworkIsUnusable() const { return options_.loss_probability > 0.05; }

  void ReportViolation(const std::string& what);
  SimulationStatistics& statistics() { return statistics_; }
  ActionDigest& action_digest() { return digest_; }
  LogSummary& log_summary() { return log_summary_; }

  SimulatedControllers& controllers() { return controllers_; }
  ActionDispatcher& dispatcher() { return dispatcher_; }
  SimulatedStateService& state_service() { return state_service_; }
  StateNetwork& state_network() { return state_network_; }
  SimulatedCloud& cloud() { return cloud_; }
  CloudNetwork& cloud_network() { return cloud_network_; }
  SimulatedWorkers& workers() { return workers_; }
  TaskExecution& tasks() { return tasks_; }
  Heartbeats& heartbeats() { return heartbeats_; }
  SimulatedClients& clients() { return clients_; }

 private:
  void UseSmallClusterSettings();
  void UseLargeFleetSettings();
  void AddWorkload();
  void ScheduleFaults();

  const SimulationOptions options_;
  ClusterSettings settings_;
  std::vector<MachineType> machine_types_;
  EventQueue events_;
  RandomSource random_;
  ActiveFaults faults_;
  double faults_end_s_ = 0;
  uint64_t next_request_ = 1;

  SimulationStatistics statistics_;
  std::vector<std::string> violations_;
  ActionDigest digest_;
  LogSummary log_summary_;

  SimulatedControllers controllers_;
  ActionDispatcher dispatcher_;
  SimulatedStateService state_service_;
  StateNetwork state_network_;
  SimulatedCloud cloud_;
  CloudNetwork cloud_network_;
  SimulatedWorkers workers_;
  TaskExecution tasks_;
  Heartbeats heartbeats_;
  SimulatedClients clients_;
  FaultInjector fault_injector_;
  InvariantChecker invariants_;
};

}  // namespace sorrelwood::test
