// Makes injected faults begin.
#pragma once

#include <vector>

#include "simulation/options.h"

namespace sorrelwood::test {

class SimulatedCluster;
struct ControllerProcess;
struct Worker;

class FaultInjector {
 public:
  explicit FaultInjector(SimulatedCluster& cluster) : cluster_(cluster) {}

  void Inject(const Fault& fault);

  // Whom a fault can hit.
  struct Targets {
    int leader = -1;  // index of the controller that leads; -1: none
    int follower = 0;
    std::vector<Worker*> running;  // all machines that are up
    Worker* one = nullptr;         // of these; null: there is none
    std::vector<Worker*> chosen;   // `count` of these
  };

 private:
  using Handler = void (FaultInjector::*)(const Fault& fault,
                                          const Targets& targets);
  struct FaultHandler {
    FaultKind kind;
    Handler handler;
  };
  // Faults that do more than to last for some time.
  static const FaultHandler kHandlers[];

  Targets DrawTargets(const Fault& fault);
  // Faults that last for some time, by what they concern. Whether the kind is
  // such a fault.
  bool BeginClusterFault(const Fault& fault);
  bool BeginMessageFault(const Fault& fault);
  bool BeginControllerFault(const Fault& fault, const Targets& targets);
  bool BeginMachineFault(const Fault& fault, const Targets& targets);
  bool RunHandler(const Fault& fault, const Targets& targets);

  void CrashLeader(const Fault& fault, const Targets& targets);
  void CrashFollower(const Fault& fault, const Targets& targets);
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
};

}  // namespace sorrelwood::test
