#include "simulation/simulated_cluster.h"

#include <algorithm>

#include "simulation/workload.h"

namespace sorrelwood::test {
namespace {

// A run with more violations is aborted.
constexpr size_t kMaxViolations = 20;

}  // namespace

SimulatedCluster::SimulatedCluster(const SimulationOptions& options)
    : options_(options),
      random_(options.seed),
      controllers_(*this),
      dispatcher_(*this),
      state_service_(*this),
      state_network_(*this),
      cloud_(*this),
      cloud_network_(*this),
      workers_(*this),
      tasks_(*this),
      heartbeats_(*this),
      clients_(*this),
      fault_injector_(*this),
      invariants_(*this) {
  UseSmallClusterSettings();
  if (options_.large_fleet) UseLargeFleetSettings();
  if (options_.best_effort_team)
    settings_.teams.push_back({"guests", 0, kNoLimit, 0, kNoLimit});
  cloud_.OfferMachines();
  controllers_.CreateAll();
  AddWorkload();
  invariants_.SchedulePeriodicChecks();
  ScheduleFaults();
}

void SimulatedCluster::UseSmallClusterSettings() {
  settings_.teams = {{"blue", 12, 24, 0, 0}, {"green", 16, 36, 0, 0}};
  settings_.heartbeat_interval_s = 1.5;
  settings_.worker_lease_s = 14;
  settings_.cancel_deadline_s = 39;
  settings_.state_max_mutations_per_transaction = 12;
  settings_.cloud_requests_per_s = 8;
  settings_.cloud_list_lag_s = 3;
  machine_types_ = {{"small", 4, 0, 16, 70, 0.4, 0.16, 0.06, 8, {"a", "b"}},
                    {"large", 16, 0, 128, 35, 0.3, 0.76, 0.28, 8, {"a", "b"}}};
}

void SimulatedCluster::UseLargeFleetSettings() {
  settings_.heartbeat_interval_s = 4;
  settings_.worker_lease_s = 22;
  settings_.cancel_deadline_s = 47;
  settings_.state_requests_per_s = 600;
  settings_.state_mutations_per_s = 250;
  settings_.cloud_requests_per_s = 15;
  const double scale = options_.fleet_scale;
  settings_.teams = {{"blue", 2500 * scale, 5000 * scale, 0, 0},
                     {"green", 3000 * scale, 8000 * scale, 0, 0}};
  settings_.objectives = {{"wait", "short", 3, 1}};
  for (MachineType& type : machine_types_) type.zones = {"a", "b", "c"};
}

void SimulatedCluster::AddWorkload() {
  Workload workload(*this);
  workload.AddArrays();
  if (options_.best_effort_team) workload.AddBestEffortTeam();
  workload.AddSingleTaskJobs();
  workload.AddServices();
  if (options_.long_array) workload.AddLongArray();
  workload.AddSmallTaskArrays();
  workload.AddBurst();
}

void SimulatedCluster::ScheduleFaults() {
  if (options_.rolling_upgrade_at_s > 0) {
    controllers_.ScheduleRollingUpgrade();
    faults_end_s_ = options_.rolling_upgrade_at_s +
                    options_.controllers * options_.rolling_upgrade_interval_s;
  }
  if (options_.state_limits_drop_at_s > 0) {
    settings_.next_state_limits = options_.dropped_state_limits;
    faults_end_s_ = options_.state_limits_drop_at_s;
  }
  for (const Fault& fault : options_.faults) {
    faults_end_s_ =
        std::max(faults_end_s_, fault.at_s + fault.for_s + fault.restart_s);
    events_.At(fault.at_s, [this, fault] { fault_injector_.Inject(fault); });
  }
}

void SimulatedCluster::Run() {
  size_t steps = 0;
  while (events_.HasEventBy(options_.duration_s)) {
    const Event event = events_.TakeNext();
    state_network_.ExpireLeases();
    event();
    if (++steps % options_.check_interval_steps == 0)
      invariants_.CheckAfterStep();
    if (violations_.size() > kMaxViolations) return;
  }
  invariants_.CheckAtEnd();
}

const MachineType& SimulatedCluster::machine_type(
    const std::string& name) const {
  return name == "small" ? machine_types_[0] : machine_types_[1];
}

double SimulatedCluster::TeamCpuLimit(const std::string& team) const {
  for (const Team& candidate : settings_.teams)
    if (candidate.name == team) return candidate.cpus_max;
  return 0;
}

void SimulatedCluster::ReportViolation(const std::string& what) {
  violations_.push_back(std::to_string(now()) + " s: " + what);
}

}  // namespace sorrelwood::test
