// Blocking client of the state service ("Controller nodes -> state service" in
// the protocol).
#pragma once

#include <string>

#include "core/engine/actions.h"
#include "http/client.h"

namespace sorrelwood {

// Sends one request at a time over one connection. Not shared between threads.
//
// The result's outcome tells whether the request was carried out; kUnknown
// stands for no answer and for one that can't be read. Only with kOk, and after
// a transaction with kConflict, does the rest of the result count.
class StateClient {
 public:
  // `address` is "IP:port"; an answer that takes longer than `timeout_s`
  // seconds is dropped.
  StateClient(const std::string& address, double timeout_s);

  // Carries out all mutations or none. With kConflict the result names the keys
  // whose preconditions did not hold.
  StateResult Transact(const StateTransaction& transaction);
  // Reads one key; kConflict if it does not exist.
  StateResult Get(const StateGet& get);
  // Reads all keys with a prefix, page by page. The result's revision is the
  // first page's: a watch from there misses no change.
  StateResult List(const StateList& list);
  // Waits up to kWatchDurationS seconds for changes of keys with a prefix.
  // `too_old` in the result tells that the service no longer has all of them.
  StateResult Watch(const StateWatch& watch);
  // Creates a lease.
  StateResult CreateLease(const LeaseCreate& create);
  // Gives a lease its full time again; kConflict if it has ended.
  StateResult RenewLease(const LeaseRenew& renew);

 private:
  HttpClient http_;
};

}  // namespace sorrelwood
