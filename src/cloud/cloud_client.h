// Blocking client of the cloud. Not shared between threads.
#pragma once

#include <string>

#include "core/engine/actions.h"
#include "http/client.h"

namespace sorrelwood {

class CloudClient {
 public:
  CloudClient(const std::string& address, double timeout_s);

  CloudResult Catalog(const CloudCatalog& catalog);
  CloudResult Rent(const CloudRent& rent);
  CloudResult Release(const CloudRelease& release);
  CloudResult List(const CloudList& list);

 private:
  HttpClient http_;
};

}  // namespace sorrelwood
