#include "core/autoscaling/machine_registration.h"

namespace sorrelwood {

Machine* RegisterMachine(MachineTable* machines, const OfferCatalog& catalog,
                         const ProvisionedMachine& provisioned) {
  Machine* machine = machines->Add(provisioned.name);
  machine->type_name = provisioned.pool.type;
  machine->type = catalog.FindType(provisioned.pool.type);
  machine->zone = provisioned.pool.zone;
  machine->spot = provisioned.pool.spot;
  machine->lifecycle.provisioned_at = provisioned.provisioned_at;
  return machine;
}

}  // namespace sorrelwood
