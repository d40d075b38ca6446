#include "simulation/action_dispatcher.h"

#include <variant>

#include "simulation/invariants/invariants.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

// Time-out of a controller for a worker's answer (s).
constexpr double kPushTimeoutS = 1.5;

}  // namespace

void ActionDispatcher::Perform(int controller, const Action& action) {
  std::visit([&](const auto& item) { Perform(controller, item); }, action);
}

void ActionDispatcher::Perform(int controller,
                               const StateTransaction& transaction) {
  cluster_.state_network().Send(controller, transaction);
}
void ActionDispatcher::Perform(int controller, const StateGet& get) {
  cluster_.state_network().Send(controller, get);
}
void ActionDispatcher::Perform(int controller, const StateList& list) {
  cluster_.state_network().Send(controller, list);
}
void ActionDispatcher::Perform(int controller, const StateWatch& watch) {
  cluster_.state_network().Watch(controller, watch);
}
void ActionDispatcher::Perform(int controller, const LeaseCreate& create) {
  cluster_.state_network().Send(controller, create);
}
void ActionDispatcher::Perform(int controller, const LeaseRenew& renew) {
  cluster_.state_network().Send(controller, renew);
}
void ActionDispatcher::Perform(int controller, const FetchCatalog& fetch) {
  cluster_.cloud_network().Send(controller, fetch);
}
void ActionDispatcher::Perform(int controller,
                               const ProvisionMachines& provision) {
  cluster_.cloud_network().SendBeforeDeadline(controller, provision);
}
void ActionDispatcher::Perform(int controller, const ReleaseMachines& release) {
  cluster_.cloud_network().SendBeforeDeadline(controller, release);
}
void ActionDispatcher::Perform(int controller, const ListCloudMachines& list) {
  cluster_.cloud_network().Send(controller, list);
}
void ActionDispatcher::Perform(int, const ClientResponse& response) {
  cluster_.clients().OnResponse(response);
}
void ActionDispatcher::Perform(int, const HeartbeatResponse& response) {
  cluster_.heartbeats().SendResponse(response);
}

void ActionDispatcher::Perform(int controller, const PushedCommands& push) {
  EventQueue& events = cluster_.events();
  RandomSource& random = cluster_.random();
  const ProcessId sender = cluster_.controllers().CurrentProcess(controller);
  events.After(cluster_.DrawNetworkLatency(), [this, sender, push] {
    ArriveAtWorker(sender, push, /*answer=*/true);
  });
  if (random.Chance(cluster_.options().late_probability))
    events.After(20 + 40 * random.Uniform(), [this, sender, push] {
      ArriveAtWorker(sender, push, /*answer=*/false);
    });
  events.After(kPushTimeoutS, [this, sender, id = push.id] {
    PushResult timed_out;
    timed_out.id = id;
    cluster_.controllers().DeliverResult(sender, timed_out);
  });
}

void ActionDispatcher::ArriveAtWorker(ProcessId sender,
                                      const PushedCommands& push, bool answer) {
  Worker* worker = cluster_.workers().Find(push.machine);
  if (!worker || !worker->up ||
      !cluster_.workers().IsConnected(sender.controller, *worker) ||
      !cluster_.workers().ReceivesMessages(*worker) ||
      !CheckPushSize(cluster_, push))
    return;
  PushResult result;
  result.id = push.id;
  result.answered = true;
  result.accepted = push.fencing_token >= worker->fencing_token &&
                    push.incarnation == worker->incarnation;
  if (result.accepted) {
    worker->AdoptFencingToken(push.fencing_token);
    cluster_.tasks().Execute(*worker, push.commands);
  }
  result.heartbeat = worker->MakeHeartbeat(cluster_.now());
  if (!answer) return;
  cluster_.events().After(
      cluster_.DrawNetworkLatency(), [this, sender, result] {
        cluster_.controllers().DeliverResult(sender, result);
      });
}

void ActionDispatcher::Perform(int controller, const SendPeerStatus& status) {
  SimulatedControllers& controllers = cluster_.controllers();
  for (int peer = 0; peer < controllers.size(); ++peer) {
    if (peer == controller ||
        cluster_.random().Chance(cluster_.options().loss_probability))
      continue;
    if (!ArePeersConnected(controller, peer)) continue;
    const ProcessId receiver = controllers.CurrentProcess(peer);
    cluster_.events().After(
        cluster_.DrawNetworkLatency(), [this, receiver, note = status.status] {
          cluster_.controllers().Deliver(
              receiver, [note](Controller& c, Controller::Time time) {
                return c.OnPeerStatus(time, note);
              });
        });
  }
}

bool ActionDispatcher::ArePeersConnected(int sender, int receiver) const {
  const SimulatedControllers& controllers = cluster_.controllers();
  const ControllerProcess& from = controllers.process(sender);
  const ControllerProcess& to = controllers.process(receiver);
  const ActiveFaults& faults = cluster_.faults();
  const double now = cluster_.now();
  const bool zones_connected =
      now >= faults.zone_partition_until_s || from.zone == to.zone;
  return !controllers.IsPartitioned(sender) &&
         !controllers.IsPartitioned(receiver) && zones_connected &&
         now >= faults.peer_messages_lost_until_s &&
         now >= from.partitioned_from_peers_until_s &&
         now >= to.partitioned_from_peers_until_s;
}

}  // namespace sorrelwood::test
