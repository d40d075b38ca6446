// The cloud: machine types, capacity, machines and their inventory. It serves
// requests at once; CloudNetwork simulates delay and loss.
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

// Notice before the preemption of a spot machine (s).
inline constexpr double kSpotNoticeS = 8;

// Machines with equal type, zone and price model, which share a capacity.
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

  // Sets the capacity of each offer.
  void OfferMachines();

  CloudResult Serve(const FetchCatalog& request) const;
  CloudResult Serve(const ProvisionMachines& request);
  CloudResult Serve(const ReleaseMachines& request);
  // Returns an outdated inventory: one to two times
  // ClusterSettings::cloud_list_lag_s old.
  CloudResult Serve(const ListCloudMachines& request);

  // Gives notice, and removes the spot machine after `notice_s`.
  void Preempt(Worker& worker, double notice_s);
  // Removes the machine with all its tasks.
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
  std::map<MachineOffer, int> capacity_;  // machines still available
  // The machines of each provisioning request, by its name.
  std::map<std::string, std::vector<std::string>> provisioned_;
  std::vector<std::pair<double, Inventory>>
      inventories_;  // with their time (s)
  int next_machine_ = 1;
};

}  // namespace sorrelwood::test
