// Blocking client of the state service. Not shared between threads.
#pragma once

#include <string>

#include "core/engine/actions.h"
#include "http/client.h"

namespace sorrelwood {

class StateClient {
 public:
  StateClient(const std::string& address, double timeout_s);

  StateResult Transact(const StateTransaction& transaction);
  StateResult Get(const StateGet& get);
  StateResult List(const StateList& list);
  StateResult Watch(const StateWatch& watch);
  StateResult CreateLease(const LeaseCreate& create);
  StateResult RenewLease(const LeaseRenew& renew);

 private:
  HttpClient http_;
};

}  // namespace sorrelwood
