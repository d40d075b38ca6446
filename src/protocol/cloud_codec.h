// Messages between controllers and the cloud: the catalogue of machine types
// (GET /catalog), provisioning (POST /hosts), release (POST /hosts/release) and
// the inventory (GET /hosts).
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "base/parse_error.h"
#include "core/model/machine_type.h"
#include "core/model/stored_records.h"

namespace sorrelwood::protocol {

// One page of the inventory.
struct MachinePage {
  std::vector<ListedMachine> machines;  // in the order of their names
  bool has_more = false;                // further pages follow
};

// Returns the target of a request for one page of the inventory: at most
// `limit` machines, from the first whose name is after `after`, or from the
// beginning if that is empty.
std::string MachinePageTarget(const std::string& after, size_t limit);

// Returns the body of a request for new machines.
std::string EncodeProvisionRequest(const ProvisioningRecord& request);

// Returns the body of a request that gives machines back.
std::string EncodeReleaseRequest(const std::vector<std::string>& machines);

// Returns the machine types on offer. A catalogue without any is an error.
ParseResult<std::vector<MachineType>> ParseCatalog(const std::string& body);

// Returns the names of the machines that the cloud has provisioned.
ParseResult<std::vector<std::string>> ParseMachineNames(
    const std::string& body);

// Returns one page of the inventory. Machines of an unknown status count as
// booting.
ParseResult<MachinePage> ParseMachinePage(const std::string& body);

}  // namespace sorrelwood::protocol
