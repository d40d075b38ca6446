#include "simulation/controllers.h"

#include <ctime>
#include <map>
#include <utility>
#include <variant>

#include "core/autoscaling/release_reason.h"
#include "simulation/invariants/invariants.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

// Wall-clock time at the start of a run (s).
constexpr double kStartWallTimeS = 1e9;
// Wall clocks deviate by up to half of this (s).
constexpr double kWallClockErrorS = 0.005;
// Time between the decision of an action and its sending (s).
constexpr double kSendDelayS = 0.003;
// Approximate restart time of a controller in the rolling upgrade (s).
constexpr double kUpgradeRestartS = 3;

double ThreadProcessorTimeS() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

}  // namespace

void SimulatedControllers::CreateAll() {
  const std::vector<std::string>& zones = cluster_.machine_types()[0].zones;
  const SimulationOptions& options = cluster_.options();
  for (int i = 0; i < options.controllers; ++i) {
    ControllerProcess& process = processes_.emplace_back();
    process.zone = zones[static_cast<size_t>(i) % zones.size()];
    process.clock_rate = 1.0 + 0.0005 * cluster_.random().Uniform();
    process.supports_upcoming_limits = options.rolling_upgrade_at_s <= 0;
    cluster_.events().At(0.1 * cluster_.random().Uniform(),
                         [this, i] { Start(i); });
  }
}

void SimulatedControllers::ScheduleRollingUpgrade() {
  const SimulationOptions& options = cluster_.options();
  for (int i = 0; i < size(); ++i)
    cluster_.events().At(
        options.rolling_upgrade_at_s + i * options.rolling_upgrade_interval_s,
        [this, i] {
          processes_[i].supports_upcoming_limits = true;
          Crash(i, kUpgradeRestartS);
        });
}

void SimulatedControllers::Start(int index) {
  ControllerProcess& process = processes_[index];
  ClusterSettings settings = cluster_.settings();
  settings.node = "node-" + std::to_string(index);
  settings.zone = process.zone;
  if (!process.supports_upcoming_limits) settings.next_state_limits.reset();
  ++process.generation;
  process.controller = std::make_unique<Controller>(
      settings, cluster_.options().policy, cluster_.random().Integer());
  process.controller->set_debug(cluster_.options().debug_log);
  process.up = true;
  Tick(CurrentProcess(index));
}

void SimulatedControllers::Crash(int index, double restart_s) {
  ControllerProcess& process = processes_[index];
  if (!process.up) return;
  process.up = false;
  process.controller.reset();
  cluster_.events().After(restart_s * (0.2 + cluster_.random().Uniform()),
                          [this, index] {
                            if (!processes_[index].up) Start(index);
                          });
}

void SimulatedControllers::Deliver(ProcessId id, const Input& input) {
  ControllerProcess& process = processes_[id.controller];
  if (!process.up || process.generation != id.generation) return;
  if (cluster_.now() < process.paused_until_s) {
    cluster_.events().At(process.paused_until_s,
                         [this, id, input] { Deliver(id, input); });
    return;
  }
  const Controller::Time time{
      SteadyClock(id.controller),
      kStartWallTimeS + cluster_.now() +
          kWallClockErrorS * (cluster_.random().Uniform() - 0.5)};
  const double began_s = ThreadProcessorTimeS();
  Actions actions = input(*process.controller, time);
  const double took_s = ThreadProcessorTimeS() - began_s;
  SimulationStatistics& statistics = cluster_.statistics();
  statistics.max_work_per_input = std::max(
      statistics.max_work_per_input, process.controller->items_examined());
  if (process.controller->leading()) {
    statistics.leader_cost.total_s += took_s;
    statistics.leader_cost.max_s =
        std::max(statistics.leader_cost.max_s, took_s);
  }
  HandleActions(id.controller, std::move(actions));
}

void SimulatedControllers::Tick(ProcessId id) {
  const ControllerProcess& process = processes_[id.controller];
  if (process.generation != id.generation) return;
  if (cluster_.now() < process.paused_until_s) {
    cluster_.events().At(process.paused_until_s, [this, id] { Tick(id); });
    return;
  }
  Deliver(id, [](Controller& controller, Controller::Time time) {
    return controller.Tick(time);
  });
  if (!process.up) return;
  RecordStatistics(id.controller);
  cluster_.events().After(0.05 + 0.05 * cluster_.random().Uniform(),
                          [this, id] { Tick(id); });
}

void SimulatedControllers::RecordStatistics(int index) {
  Controller& controller = *processes_[index].controller;
  SimulationStatistics& statistics = cluster_.statistics();
  if (!controller.IsHealthy()) ++statistics.unhealthy_ticks;
  const Controller::Statistics measured = controller.CollectStatistics();
  if (!measured.leading) return;
  statistics.AddRebalancing(cluster_.now(), measured.scheduler.rebalancing,
                            cluster_.options().policy.spread.stop_imbalance);
  if (!terms_seen_.insert(measured.term).second) return;
  ++statistics.takeovers;
  cluster_.heartbeats().ReplayToAllControllers();
}

void SimulatedControllers::HandleActions(int index, Actions actions) {
  for (Action& action : actions) {
    cluster_.action_digest().Add(index, action);
    if (const auto* event = std::get_if<LogEvent>(&action)) {
      cluster_.log_summary().Add(index, *event);
      CountReleaseOfHealthyMachine(*event);
      continue;
    }
    if (std::holds_alternative<ReleaseMachines>(action))
      CheckLeaderMayRelease(cluster_, *processes_[index].controller);
    SendLater(index, [this, index, action = std::move(action)] {
      cluster_.dispatcher().Perform(index, action);
    });
  }
}

void SimulatedControllers::SendLater(int index, const Event& event) {
  const ProcessId id = CurrentProcess(index);
  cluster_.events().After(kSendDelayS, [this, id, event] {
    const ControllerProcess& process = processes_[id.controller];
    if (!process.up || process.generation != id.generation) return;
    if (cluster_.now() < process.paused_until_s)
      cluster_.events().At(process.paused_until_s, [this, id, event] {
        SendLater(id.controller, event);
      });
    else
      event();
  });
}

void SimulatedControllers::CountReleaseOfHealthyMachine(const LogEvent& event) {
  if (event.message != "releasing machine") return;
  std::map<std::string, std::string> fields;
  for (const LogField& field : event.fields)
    fields[field.name] = std::get<std::string>(field.value);
  if (fields.at("reason") != ReleaseReasonText(ReleaseReason::kFaulty)) return;
  const Worker* worker = cluster_.workers().Find(fields.at("machine"));
  if (worker && !worker->fails_all_tasks)
    ++cluster_.statistics().healthy_machines_released;
}

int SimulatedControllers::DrawIndex() {
  return static_cast<int>(cluster_.random().Below(processes_.size()));
}

bool SimulatedControllers::IsReachableByClients(int index) const {
  return processes_[index].up && !IsPartitioned(index);
}

bool SimulatedControllers::IsPartitioned(int index) const {
  return cluster_.now() < processes_[index].partitioned_until_s;
}

int SimulatedControllers::LeaderIndex() const {
  for (int i = 0; i < size(); ++i) {
    const ControllerProcess& process = processes_[i];
    if (process.up && process.controller->CollectStatistics().leading) return i;
  }
  return -1;
}

double SimulatedControllers::SteadyClock(int index) const {
  // Steady clocks of different machines have unrelated origins and rates.
  return cluster_.now() * processes_[index].clock_rate + 100.0 * index;
}

}  // namespace sorrelwood::test
