// Adds machines of the cloud to the machine table.
#pragma once

#include <string>

#include "core/autoscaling/offer_catalog.h"
#include "core/machines/machine_table.h"

namespace sorrelwood {

// A machine as described by a provisioning request or the cloud's inventory.
struct ProvisionedMachine {
  std::string name;
  CapacityPool pool;
  double provisioned_at = 0;  // steady clock, s
};

// Adds the machine, or overwrites these fields of the existing one.
Machine* RegisterMachine(MachineTable* machines, const OfferCatalog& catalog,
                         const ProvisionedMachine& provisioned);

}  // namespace sorrelwood
