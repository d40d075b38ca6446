// A blocking client of the cloud ("Controller nodes -> cloud" in the protocol).
#pragma once

#include <string>

#include "core/engine/actions.h"
#include "http/client.h"

namespace sorrelwood {

// Sends one request at a time over one connection. Not thread-safe.
//
// The result's outcome says whether the cloud has executed the request;
// kUnknown means no response or an invalid one. The machines and types in the
// result are only valid with kOk.
class CloudClient {
 public:
  // `address` is "IP:port". A request without a response within `timeout_s`
  // seconds fails.
  CloudClient(const std::string& address, double timeout_s);

  // Reads the machine types that the cloud offers.
  CloudResult GetCatalog(const FetchCatalog& fetch);
  // Provisions machines. The result contains their names, or `no_capacity` if
  // the cloud has none. Refused without a request if the action's deadline,
  // `not_after`, has passed.
  CloudResult Provision(const ProvisionMachines& provision);
  // Releases machines. Refused without a request if the action's deadline,
  // `not_after`, has passed.
  CloudResult Release(const ReleaseMachines& release);
  // Reads the inventory page by page, pausing `list.page_pause_s` between two
  // pages.
  CloudResult ListMachines(const ListCloudMachines& list);

 private:
  HttpClient http_;
};

}  // namespace sorrelwood
