// Starts the injected faults of a run.
#pragma once

#include <vector>

#include "simulation/leader_restart.h"
#include "simulation/options.h"
#include "simulation/zone_cut.h"

namespace sorrelwood::test {

class SimulatedCluster;
struct ControllerProcess;
struct Worker;

class FaultInjector {
 public:
  explicit FaultInjector(SimulatedCluster& cluster)
      : cluster_(cluster), leader_restart_(cluster), zone_cut_(cluster) {}

  void Inject(const Fault& fault);

  // The controllers and machines that a fault can affect.
  struct Targets {
    int leader = -1;                   // index of the leader; -1: none
    int follower = 0;                  // index
    std::vector<Worker*> running;      // all running machines
    Worker* random_machine = nullptr;  // one of `running`; null: none runs
    std::vector<Worker*> affected;     // up to `Fault::count` of `running`
  };

 private:
  using Handler = void (FaultInjector::*)(const Fault& fault,
                                          const Targets& targets);
  struct FaultHandler {
    FaultKind kind;
    Handler handler;
  };
  // The kinds that need their own code to start.
  static const FaultHandler kHandlers[];

  Targets DrawTargets(const Fault& fault);
  // Each function starts the fault and returns true if it is responsible for
  // the fault's kind. The first four only set the time at which the fault ends.
  bool BeginClusterFault(const Fault& fault);
  bool BeginMessageFault(const Fault& fault);
  bool BeginControllerFault(const Fault& fault, const Targets& targets);
  bool BeginMachineFault(const Fault& fault, const Targets& targets);
  bool RunHandler(const Fault& fault, const Targets& targets);

  void CrashLeader(const Fault& fault, const Targets& targets);
  void CrashFollower(const Fault& fault, const Targets& targets);
  void CutLeaderZone(const Fault& fault, const Targets& targets);
  void RestartLeader(const Fault& fault, const Targets& targets);
  void CrashAllControllers(const Fault& fault, const Targets& targets);
  void PauseAllControllers(const Fault& fault, const Targets& targets);
  void BeginStateOutage(const Fault& fault, const Targets& targets);
  void PreemptSpotMachines(const Fault& fault, const Targets& targets);
  void CrashMachines(const Fault& fault, const Targets& targets);
  void RestartMachine(const Fault& fault, const Targets& targets);
  void MakeMachineFailTasks(const Fault& fault, const Targets& targets);
  void LoseThirdOfMachines(const Fault& fault, const Targets& targets);
  void CancelRunningJobs(const Fault& fault, const Targets& targets);
  void SendUnusualRequests(const Fault& fault, const Targets& targets);

  SimulatedCluster& cluster_;
  LeaderRestart leader_restart_;
  ZoneCut zone_cut_;
};

}  // namespace sorrelwood::test
