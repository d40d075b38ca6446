// Receives the heartbeats of workers and responds to them.
#pragma once

#include <cstdint>

#include "core/autoscaling/autoscaler.h"
#include "core/coordination/leader_election.h"
#include "core/engine/context.h"
#include "core/machines/machine_table.h"
#include "core/scheduling/placement.h"
#include "core/workers/command_selector.h"
#include "core/workers/health_monitor.h"
#include "core/workers/reconciler.h"
#include "core/workers/unreconciled_machines.h"

namespace sorrelwood {

class HeartbeatHandler {
 public:
  HeartbeatHandler(Context* context, LeaderElection* election,
                   MachineTable* machines, Autoscaler* autoscaler,
                   Placement* placement, Reconciler* reconciler,
                   CommandSelector* commands, HealthMonitor* health_monitor,
                   UnreconciledMachines* unreconciled)
      : context_(context),
        election_(election),
        machines_(machines),
        autoscaler_(autoscaler),
        placement_(placement),
        reconciler_(reconciler),
        commands_(commands),
        health_monitor_(health_monitor),
        unreconciled_(unreconciled) {}

  // Applies the heartbeat and responds either with 200 and commands, which
  // renews the worker's lease, or with 503. `request` identifies the connection
  // to answer.
  void Handle(uint64_t request, const Heartbeat& heartbeat);
  // Responds while the leader has not read its records yet. The worker keeps
  // its tasks, except those of ended jobs, and receives no new ones.
  void HandleDuringRecovery(uint64_t request, const Heartbeat& heartbeat);

 private:
  HeartbeatResponse NewResponse(uint64_t request) const;
  void RespondUnavailable(HeartbeatResponse response);
  // The reporting machine, which is added if it is unknown; null if the machine
  // is known to be gone.
  Machine* FindOrAdd(const Heartbeat& heartbeat);
  bool IsFromThisTerm(const Heartbeat& heartbeat) const;
  bool ProvesDelivery(const Machine& machine, const Heartbeat& heartbeat) const;
  void RecordDeliveryProof(Machine* machine, const Heartbeat& heartbeat);
  // Whether the heartbeat may be answered with 200. If not, it is refused, so
  // that the worker's lease is certain to expire.
  bool MayAnswer(const Machine& machine, const Heartbeat& heartbeat) const;
  // Records that the heartbeat is answered, which may renew the worker's lease.
  void RecordAnswer(Machine* machine, const Heartbeat& heartbeat);
  std::vector<Command> PlaceAndSelectCommands(Machine* machine,
                                              const Heartbeat& heartbeat);

  Context* context_;
  LeaderElection* election_;
  MachineTable* machines_;
  Autoscaler* autoscaler_;
  Placement* placement_;
  Reconciler* reconciler_;
  CommandSelector* commands_;
  HealthMonitor* health_monitor_;
  UnreconciledMachines* unreconciled_;
};

}  // namespace sorrelwood
