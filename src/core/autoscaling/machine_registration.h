// Takes machines of the cloud into the machine table.
#pragma once

#include <string>

#include "core/autoscaling/offer_catalog.h"
#include "core/machines/machine_table.h"

namespace sorrelwood {

// A machine as a provisioning request or the cloud's inventory names it.
struct ProvisionedMachine {
  std::string name;
  CapacityPool pool;
  double provisioned_at = 0;  // steady clock, s
};

// Adds the machine, or overwrites these fields of the one that is there.
Machine* RegisterMachine(MachineTable* machines, const OfferCatalog& catalog,
                         const ProvisionedMachine& provisioned);

}  // namespace sorrelwood
