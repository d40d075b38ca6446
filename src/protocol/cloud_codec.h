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
  std::vector<ListedMachine> machines;  // ordered by name
  bool has_more = false;                // another page follows
};

// Returns the target (path and query) of a request for one page of the
// inventory: at most `limit` machines whose names are after `after`. An empty
// `after` gives the first page.
std::string MachinePageTarget(const std::string& after, size_t limit);

// Returns the body of a request for new machines.
std::string EncodeProvisionRequest(const ProvisioningRecord& request);

// Returns the body of a request that releases machines.
std::string EncodeReleaseRequest(const std::vector<std::string>& machines);

// Returns the machine types of a catalogue. A catalogue without types is an
// error.
ParseResult<std::vector<MachineType>> ParseCatalog(const std::string& body);

// Returns the names of the machines that the cloud has provisioned.
ParseResult<std::vector<std::string>> ParseMachineNames(
    const std::string& body);

// Returns one page of the inventory. A machine with an unknown status is read
// as booting.
ParseResult<MachinePage> ParseMachinePage(const std::string& body);

}  // namespace sorrelwood::protocol
