// A blocking client of the state service ("Controller nodes -> state service"
// in the protocol).
#pragma once

#include <string>

#include "core/engine/actions.h"
#include "http/client.h"

namespace sorrelwood {

// Sends one request at a time over one connection. Not thread-safe.
//
// The result's outcome says whether the service has executed the request;
// kUnknown means no response or an invalid one. The other fields of the result
// are only valid with kOk and, for transactions, kConflict.
class StateClient {
 public:
  // `address` is "IP:port". A request without a response within `timeout_s`
  // seconds fails.
  StateClient(const std::string& address, double timeout_s);

  // Applies all mutations or none. With kConflict the result contains the keys
  // whose preconditions did not hold.
  StateResult Transact(const StateTransaction& transaction);
  // Reads a key; kConflict if it does not exist.
  StateResult Get(const StateGet& get);
  // Reads all keys with a prefix, page by page. The result has the revision of
  // the first page, from which a watch misses no change.
  StateResult List(const StateList& list);
  // Waits up to kWatchDurationS seconds for changes of keys with a prefix.
  // `too_old` in the result means that the service no longer has all changes
  // after the revision `watch.after`, so the keys must be listed again.
  StateResult Watch(const StateWatch& watch);
  StateResult CreateLease(const LeaseCreate& create);
  // Extends a lease to its full duration; kConflict if it has expired.
  StateResult RenewLease(const LeaseRenew& renew);

 private:
  HttpClient http_;
};

}  // namespace sorrelwood
