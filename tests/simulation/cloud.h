// The cloud: machine types, capacity, machines and their inventory. It answers
// at once; CloudNetwork carries the messages.
#pragma once

#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "core/engine/actions.h"

namespace sorrelwood::test {

class SimulatedCluster;
struct Worker;

// Notice before a spot machine is taken back (s).
inline constexpr double kSpotNoticeS = 8;

// What a machine is provisioned as.
struct MachineOffer {
  std::string type, zone;
  bool spot = false;

  bool operator<(const MachineOffer& other) const {
    return std::tie(type, zone, spot) <
           std::tie(other.type, other.zone, other.spot);
  }
};

class SimulatedCloud {
 public:
  explicit SimulatedCloud(SimulatedCluster& cluster) : cluster_(cluster) {}

  // Sets how many machines of each offer there are.
  void OfferMachines();

  CloudResult Serve(const FetchCatalog& request) const;
  CloudResult Serve(const ProvisionMachines& request);
  CloudResult Serve(const ReleaseMachines& request);
  // The inventory lags: what is answered is that of a few seconds ago.
  CloudResult Serve(const ListCloudMachines& request);

  // Gives notice that a spot machine is taken back, and takes it back.
  void Preempt(Worker& worker, double notice_s);
  // The machine is gone, with all that is on it.
  void Remove(const std::string& machine);

  int machines_provisioned() const { return next_machine_ - 1; }

 private:
  using Inventory = std::vector<ListedMachine>;

  // Creates a machine and returns its name.
  std::string CreateMachine(const ProvisioningRecord& provisioning);
  void ScheduleBoot(const std::string& machine);
  void SchedulePreemption(const std::string& machine);
  Inventory CurrentInventory() const;

  SimulatedCluster& cluster_;
  std::map<MachineOffer, int> capacity_;  // machines that can still be had
  // The machines of each provisioning request, by its name.
  std::map<std::string, std::vector<std::string>> provisioned_;
  std::vector<std::pair<double, Inventory>> inventories_;  // by time (s)
  int next_machine_ = 1;
};

}  // namespace sorrelwood::test
