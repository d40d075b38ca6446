#include "simulation/cloud.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "simulation/invariants/invariants.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

constexpr double kBootS = 8;  // usual time until a machine is up
constexpr double kSlowBootFactor = 6;
constexpr double kInstantBootS = 0.02;  // less than any request's round trip
constexpr double kSecondsPerHour = 3600;

}  // namespace

void SimulatedCloud::OfferMachines() {
  const SimulationOptions& options = cluster_.options();
  for (const MachineType& type : cluster_.machine_types()) {
    const bool small = type.name == "small";
    for (const std::string& zone : type.zones) {
      int& on_demand = capacity_[{type.name, zone, false}];
      int& spot = capacity_[{type.name, zone, true}];
      if (options.large_fleet) {
        on_demand = spot =
            static_cast<int>((small ? 200 : 50) * options.fleet_scale);
      } else {
        on_demand = (small ? 4 : 1) * options.capacity_factor;
        spot = (small ? 8 : 2) * options.capacity_factor;
      }
    }
  }
}

CloudResult SimulatedCloud::Serve(const FetchCatalog&) const {
  CloudResult result;
  result.outcome = Outcome::kOk;
  result.types = cluster_.machine_types();
  return result;
}

CloudResult SimulatedCloud::Serve(const ProvisionMachines& request) {
  CloudResult result;
  const ProvisioningRecord& provisioning = request.record;
  const auto known = provisioned_.find(provisioning.name);
  if (known == provisioned_.end())
    CheckProvisioningIsRecorded(cluster_, provisioning.name);
  if (known != provisioned_.end()) {
    result.outcome = Outcome::kOk;
    result.machines = known->second;
    return result;
  }
  int& available =
      capacity_[{provisioning.type, provisioning.zone, provisioning.spot}];
  const int count = std::min(available, provisioning.count);
  if (count <= 0) {
    result.outcome = Outcome::kRefused;
    result.no_capacity = true;
    return result;
  }
  available -= count;
  for (int i = 0; i < count; ++i)
    result.machines.push_back(CreateMachine(provisioning));
  provisioned_[provisioning.name] = result.machines;
  result.outcome = Outcome::kOk;
  return result;
}

std::string SimulatedCloud::CreateMachine(
    const ProvisioningRecord& provisioning) {
  char name[32];
  std::snprintf(name, sizeof(name), "n-%06d", next_machine_++);
  Worker worker;
  worker.name = name;
  worker.type = provisioning.type;
  worker.zone = provisioning.zone;
  worker.spot = provisioning.spot;
  worker.provisioned_at_s = cluster_.now();
  worker.listed_from_s = cluster_.now() + cluster_.settings().cloud_list_lag_s;
  cluster_.workers().Add(std::move(worker));
  ScheduleBoot(name);
  if (provisioning.spot && cluster_.options().spot_preemptions_per_hour > 0)
    SchedulePreemption(name);
  return name;
}

void SimulatedCloud::ScheduleBoot(const std::string& machine) {
  RandomSource& random = cluster_.random();
  double boot_s = kBootS * (0.6 + 0.9 * random.Uniform());
  bool fails = random.Chance(cluster_.options().boot_failure_probability);
  if (cluster_.now() < cluster_.faults().slow_boots_until_s) {
    boot_s *= kSlowBootFactor;
    fails = fails || random.Chance(0.2);
  } else if (cluster_.now() < cluster_.faults().instant_boots_until_s) {
    boot_s = kInstantBootS * random.Uniform();
  }
  if (fails) return;
  cluster_.events().After(
      boot_s, [this, machine] { cluster_.workers().Boot(machine); });
}

void SimulatedCloud::SchedulePreemption(const std::string& machine) {
  // Preemptions are a Poisson process.
  const double life_s = -std::log(1 - cluster_.random().Uniform()) *
                        kSecondsPerHour /
                        cluster_.options().spot_preemptions_per_hour;
  cluster_.events().After(life_s, [this, machine] {
    Worker& worker = cluster_.workers().Get(machine);
    if (worker.released) return;
    Preempt(worker, cluster_.random().Chance(0.5) ? kSpotNoticeS : 0);
  });
}

void SimulatedCloud::Preempt(Worker& worker, double notice_s) {
  worker.preempted_at_s = cluster_.now() + notice_s;
  worker.changed = true;
  cluster_.events().At(worker.preempted_at_s,
                       [this, name = worker.name] { Remove(name); });
}

void SimulatedCloud::Remove(const std::string& machine) {
  Worker* worker = cluster_.workers().Find(machine);
  if (!worker || worker->released) return;
  worker->LoseAllTasks();
  worker->up = false;
  worker->released = true;
  worker->released_at_s = cluster_.now();
  ++capacity_[{worker->type, worker->zone, worker->spot}];
}

CloudResult SimulatedCloud::Serve(const ReleaseMachines& request) {
  for (const std::string& machine : request.machines) Remove(machine);
  CloudResult result;
  result.outcome = Outcome::kOk;
  result.machines = request.machines;
  return result;
}

SimulatedCloud::Inventory SimulatedCloud::CurrentInventory() const {
  Inventory inventory;
  for (const auto& [name, worker] : cluster_.workers().all()) {
    if (worker->released || cluster_.now() < worker->listed_from_s) continue;
    MachineStatus status = MachineStatus::kBooting;
    if (worker->crashed)
      status = MachineStatus::kFailed;
    else if (worker->up)
      status = MachineStatus::kRunning;
    inventory.push_back({name, worker->Address(), worker->type, worker->zone,
                         worker->spot, status,
                         cluster_.now() - worker->provisioned_at_s});
  }
  return inventory;
}

CloudResult SimulatedCloud::Serve(const ListCloudMachines&) {
  CloudResult result;
  result.outcome = Outcome::kOk;
  inventories_.emplace_back(cluster_.now(), CurrentInventory());
  const double as_of_s = cluster_.now() - cluster_.settings().cloud_list_lag_s *
                                              (1 + cluster_.random().Uniform());
  for (auto it = inventories_.rbegin(); it != inventories_.rend(); ++it) {
    result.listed = it->second;
    if (it->first <= as_of_s) break;
  }
  return result;
}

}  // namespace sorrelwood::test
