// Blocking client of the cloud. Not shared between threads.
#pragma once

#include <string>

#include "core/engine/actions.h"
#include "http/client.h"

namespace sorrelwood {

class CloudClient {
 public:
  CloudClient(const std::string& address, double timeout_s);

  CloudResult Catalog(const FetchCatalog& catalog);
  CloudResult Rent(const ProvisionMachines& rent);
  CloudResult Release(const ReleaseMachines& release);
  CloudResult List(const ListCloudMachines& list);

 private:
  HttpClient http_;
};

}  // namespace sorrelwood
