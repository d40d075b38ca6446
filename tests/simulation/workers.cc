#include "simulation/workers.h"

#include <algorithm>
#include <utility>

#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

constexpr double kLoopIntervalS = 0.1;
// Time-out for a heartbeat response, after which the worker tries the next
// controller (s).
constexpr double kResponseTimeoutS = 4;
// Pause before the worker tries the next controller (s).
constexpr double kRetryPauseS = 1;
// Minimum time between two heartbeats when a change is reported early (s).
constexpr double kMinHeartbeatPauseS = 0.5;

}  // namespace

Heartbeat Worker::MakeHeartbeat(double now_s) {
  Heartbeat heartbeat;
  heartbeat.machine = name;
  heartbeat.address = Address();
  heartbeat.type = type;
  heartbeat.zone = zone;
  heartbeat.spot = spot;
  heartbeat.incarnation = incarnation;
  heartbeat.sequence = ++sequence;
  heartbeat.fencing_token = fencing_token;
  if (preempted_at_s > now_s)
    heartbeat.preemption_notice_s = preempted_at_s - now_s;
  for (const auto& [id, task] : tasks)
    heartbeat.tasks.push_back(
        {id.job, id.task, task.attempt, task.state, task.reason, task.saved});
  return heartbeat;
}

void Worker::AdoptFencingToken(uint64_t token) {
  // The next heartbeat is sent early, so that a new leader sees its token.
  if (token > fencing_token) changed = true;
  fencing_token = token;
}

void Worker::BeginIncarnation(double now_s) {
  ++incarnation;
  sequence = 0;
  lease_from_s = now_s;
  awaits_response = false;
  changed = true;
}

void SimulatedWorkers::Add(Worker worker) {
  const std::string name = worker.name;
  workers_[name] = std::make_unique<Worker>(std::move(worker));
}

void SimulatedWorkers::Boot(const std::string& name) {
  Worker& worker = Get(name);
  if (worker.released) return;
  worker.up = true;
  worker.lease_from_s = cluster_.now();
  worker.controller = cluster_.controllers().DrawIndex();
  worker.next_heartbeat_s = cluster_.now();
  Loop(name);
}

void SimulatedWorkers::Crash(Worker& worker) {
  worker.LoseAllTasks();
  worker.up = false;
  worker.crashed = true;
}

void SimulatedWorkers::Restart(Worker& worker) {
  worker.LoseAllTasks();
  worker.BeginIncarnation(cluster_.now());
}

Worker* SimulatedWorkers::Find(const std::string& name) {
  const auto it = workers_.find(name);
  return it == workers_.end() ? nullptr : it->second.get();
}

bool SimulatedWorkers::IsConnected(int controller, const Worker& worker) const {
  const ControllerProcess& process = cluster_.controllers().process(controller);
  const double now = cluster_.now();
  if (now < worker.partitioned_until_s ||
      now < process.partitioned_from_workers_until_s ||
      now < process.partitioned_until_s)
    return false;
  return now >= cluster_.faults().zone_partition_until_s ||
         process.zone == worker.zone;
}

bool SimulatedWorkers::ReceivesMessages(const Worker& worker) const {
  return cluster_.now() >= worker.hung_until_s &&
         cluster_.now() >= worker.inbound_lost_until_s;
}

bool SimulatedWorkers::HoldsLease(const Worker& worker) const {
  return cluster_.now() - worker.lease_from_s <=
         cluster_.settings().worker_lease_s;
}

void SimulatedWorkers::Loop(const std::string& name) {
  Worker& worker = Get(name);
  if (!worker.up) return;
  cluster_.events().After(kLoopIntervalS, [this, name] { Loop(name); });
  const double now = cluster_.now();
  if (now < worker.hung_until_s) return;
  if (!HoldsLease(worker)) Restart(worker);
  if (worker.awaits_response &&
      now - worker.last_heartbeat_s > kResponseTimeoutS) {
    worker.awaits_response = false;
    worker.controller = (worker.controller + 1) % cluster_.controllers().size();
    worker.next_heartbeat_s = now + kRetryPauseS;
  }
  if (worker.awaits_response) return;
  if (now >= worker.next_heartbeat_s ||
      (worker.changed && now - worker.last_heartbeat_s > kMinHeartbeatPauseS))
    cluster_.heartbeats().Send(worker);
}

size_t SimulatedWorkers::remaining() const {
  return static_cast<size_t>(
      std::count_if(workers_.begin(), workers_.end(),
                    [](const auto& item) { return !item.second->released; }));
}

double SimulatedWorkers::TotalMachineTime() const {
  double seconds = 0;
  for (const auto& [name, worker] : workers_)
    seconds += (worker->released ? worker->released_at_s : cluster_.now()) -
               worker->provisioned_at_s;
  return seconds;
}

}  // namespace sorrelwood::test
