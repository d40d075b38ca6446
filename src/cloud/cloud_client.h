// Blocking client of the cloud ("Controller nodes -> cloud" in the protocol).
#pragma once

#include <string>

#include "core/engine/actions.h"
#include "http/client.h"

namespace sorrelwood {

// Sends one request at a time over one connection. Not shared between threads.
//
// The result's outcome tells whether the request was carried out; kUnknown
// stands for no answer and for one that can't be read. Only with kOk do the
// machines and types in the result count.
class CloudClient {
 public:
  // `address` is "IP:port"; an answer that takes longer than `timeout_s`
  // seconds is dropped.
  CloudClient(const std::string& address, double timeout_s);

  // Reads the machine types on offer.
  CloudResult GetCatalog(const FetchCatalog& catalog);
  // Asks for machines. The result names them, or tells that there are none to
  // be had. Refused without a request once the action's time has passed.
  CloudResult Provision(const ProvisionMachines& provision);
  // Gives machines back. Refused without a request once the action's time has
  // passed.
  CloudResult Release(const ReleaseMachines& release);
  // Reads the inventory, page by page, with the action's pause between two.
  CloudResult ListMachines(const ListCloudMachines& list);

 private:
  HttpClient http_;
};

}  // namespace sorrelwood
