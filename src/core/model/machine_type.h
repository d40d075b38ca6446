// Machines as the cloud describes them.
#pragma once

#include <string>
#include <vector>

namespace sorrelwood {

// One entry of the cloud's catalogue. Prices are per hour.
struct MachineType {
  std::string name;
  double cpus = 0, gpus = 0, memory_gb = 0;
  double cache_gb = 0;        // capacity of the image cache on its disk
  double fetch_gb_per_s = 0;  // rate at which images are fetched
  double price = 0, spot_price = 0;
  double boot_s = 0;  // usual time from provisioning to the first heartbeat
  std::vector<std::string> zones;  // where it can be provisioned
};

enum class MachineStatus { kBooting, kRunning, kFailed };

// One machine in the cloud's inventory.
struct ListedMachine {
  std::string name, address, type, zone;
  bool spot = false;
  MachineStatus status = MachineStatus::kBooting;
  double age_s = 0;  // since it was provisioned
};

}  // namespace sorrelwood
