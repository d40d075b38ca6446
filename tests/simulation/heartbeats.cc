#include "simulation/heartbeats.h"

#include <algorithm>

#include "simulation/invariants/invariants.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

constexpr int kStatusOk = 200;
// Just below a worker's time-out for a response (s).
constexpr double kLateResponseS = 3.8;
// Pause before a worker tries another controller: one that the response names,
// or else the next (s).
constexpr double kRedirectPauseS = 0.3, kRetryPauseS = 1;

}  // namespace

void Heartbeats::Send(Worker& worker) {
  const double now = cluster_.now();
  worker.awaits_response = true;
  worker.changed = false;
  worker.last_heartbeat_s = now;
  worker.next_heartbeat_s =
      now + cluster_.settings().heartbeat_interval_s *
                (0.75 + 0.5 * cluster_.random().Uniform());
  worker.request = cluster_.NextRequestId();
  const Heartbeat heartbeat = worker.MakeHeartbeat(now);
  if (!CheckReportSize(cluster_, heartbeat)) {
    worker.awaits_response = false;
    return;
  }
  pending_[worker.request] = {worker.name, worker.controller,
                              heartbeat.incarnation, now};
  ScheduleDeliveries(worker, worker.request, heartbeat);
}

void Heartbeats::ScheduleDeliveries(const Worker& worker, uint64_t request,
                                    const Heartbeat& heartbeat) {
  const SimulationOptions& options = cluster_.options();
  const ActiveFaults& faults = cluster_.faults();
  EventQueue& events = cluster_.events();
  RandomSource& random = cluster_.random();
  const int controller = worker.controller;
  const Event deliver = [this, controller, request, heartbeat] {
    Deliver(controller, request, heartbeat);
  };
  if (!cluster_.workers().IsConnected(controller, worker)) {
    // Delivered when the partition ends, up to minutes late.
    const ControllerProcess& process =
        cluster_.controllers().process(controller);
    const double until_s = std::max(
        {worker.partitioned_until_s, process.partitioned_from_workers_until_s,
         process.partitioned_until_s, faults.zone_partition_until_s});
    events.At(until_s + cluster_.DrawNetworkLatency(), deliver);
    return;
  }
  if (cluster_.now() < worker.outbound_lost_until_s) return;
  if (cluster_.DrawHit(faults.heartbeats_replayed_to_next_leader))
    kept_for_next_leader_.emplace_back(request, heartbeat);
  if (cluster_.DrawHit(faults.late_heartbeat_copies))
    events.After(
        2 + 1.5 * cluster_.settings().worker_lease_s * random.Uniform(),
        deliver);
  if (random.Chance(options.loss_probability)) return;
  events.After(cluster_.DrawNetworkLatency(), deliver);
  if (random.Chance(options.duplicate_probability))
    events.After(5 * random.Uniform(), deliver);
  if (options.heartbeat_copy_probability > 0 &&
      random.Chance(options.heartbeat_copy_probability))
    events.After(1 + 40 * random.Uniform(), deliver);
}

void Heartbeats::Deliver(int controller, uint64_t request,
                         const Heartbeat& heartbeat) {
  SimulatedControllers& controllers = cluster_.controllers();
  if (!controllers.process(controller).up) return;
  ++cluster_.statistics().leader_cost.heartbeats;
  controllers.Deliver(
      controllers.CurrentProcess(controller),
      [request, heartbeat](Controller& receiver, Controller::Time time) {
        return receiver.OnHeartbeat(time, request, heartbeat);
      });
}

void Heartbeats::ReplayToAllControllers() {
  for (const auto& [request, heartbeat] :
       std::exchange(kept_for_next_leader_, {}))
    for (int i = 0; i < cluster_.controllers().size(); ++i)
      cluster_.events().After(
          0.5 * cluster_.random().Uniform(),
          [this, i, request = request, heartbeat = heartbeat] {
            SimulatedControllers& controllers = cluster_.controllers();
            controllers.Deliver(controllers.CurrentProcess(i),
                                [request, heartbeat](Controller& receiver,
                                                     Controller::Time time) {
                                  return receiver.OnHeartbeat(time, request,
                                                              heartbeat);
                                });
          });
}

void Heartbeats::SendResponse(const HeartbeatResponse& response) {
  // A late response may arrive just before the worker's time-out.
  RandomSource& random = cluster_.random();
  const double delay_s = random.Chance(cluster_.options().late_probability)
                             ? kLateResponseS * random.Uniform()
                             : cluster_.DrawNetworkLatency();
  cluster_.events().After(delay_s,
                          [this, response] { ReceiveResponse(response); });
}

void Heartbeats::ReceiveResponse(const HeartbeatResponse& response) {
  const auto pending = pending_.find(response.request);
  if (pending == pending_.end()) return;
  const Pending heartbeat = pending->second;
  pending_.erase(pending);
  Worker* worker = cluster_.workers().Find(heartbeat.worker);
  if (!worker || !worker->up) return;
  if (!worker->awaits_response || worker->request != response.request) return;
  if (!cluster_.workers().IsConnected(heartbeat.controller, *worker) ||
      !cluster_.workers().ReceivesMessages(*worker) ||
      !CheckResponseSize(cluster_, response) ||
      cluster_.random().Chance(cluster_.options().loss_probability))
    return;  // lost: the worker's time-out follows
  worker->awaits_response = false;
  if (response.status != kStatusOk) {
    FollowRedirect(*worker, heartbeat, response);
    return;
  }
  if (response.fencing_token < worker->fencing_token ||
      heartbeat.incarnation != worker->incarnation)
    return;  // from an earlier leader, or for an earlier incarnation
  worker->AdoptFencingToken(response.fencing_token);
  worker->lease_from_s = std::max(worker->lease_from_s, heartbeat.sent_at_s);
  cluster_.tasks().Execute(*worker, response.commands);
}

void Heartbeats::FollowRedirect(Worker& worker, const Pending& heartbeat,
                                const HeartbeatResponse& response) {
  if (response.redirect.empty()) {
    worker.controller =
        (heartbeat.controller + 1) % cluster_.controllers().size();
    worker.next_heartbeat_s = cluster_.now() + kRetryPauseS;
    return;
  }
  // The name of a controller ends in its index.
  worker.controller = response.redirect.back() - '0';
  worker.next_heartbeat_s = cluster_.now() + kRedirectPauseS;
}

}  // namespace sorrelwood::test
