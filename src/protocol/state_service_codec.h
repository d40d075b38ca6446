// Messages between controllers and the state service: transactions
// (POST /multi), reads and listings (GET /keys), leases (POST /leases) and
// watches (GET /follow).
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/parse_error.h"
#include "core/engine/actions.h"

namespace sorrelwood::protocol {

// The answer to a transaction, carried out (200) or not (409).
struct TransactionAnswer {
  uint64_t revision = 0;                 // of the store, after it
  std::vector<std::string> failed_keys;  // whose preconditions did not hold
};

// One page of a listing, ordered by key.
struct ItemPage {
  uint64_t revision = 0;  // of the store, when the page was read
  std::vector<KeyValue> items;
  bool has_more = false;  // further pages follow
};

// The answer to a watch.
struct WatchAnswer {
  uint64_t revision = 0;  // from which the next watch continues
  std::vector<KeyValue> changes;
};

// Returns the target of a read of one key.
std::string KeyTarget(const std::string& key);

// Returns the target of a request for one page of a listing: at most `limit`
// keys with the prefix, from the first after `after`, or from the beginning if
// that is empty.
std::string ItemPageTarget(const std::string& prefix, const std::string& after,
                           int limit);

// Returns the target of a watch that ends with the first change of a key with
// the prefix after revision `after`, or after `wait_s` seconds.
std::string WatchTarget(const std::string& prefix, uint64_t after,
                        double wait_s);

// Returns the target of a lease's renewal.
std::string RenewLeaseTarget(uint64_t lease);

// Returns the body of a transaction. Without mutations it only compares.
std::string EncodeTransaction(const StateTransaction& transaction);

// Returns the body of a request for a lease of `ttl_s` seconds.
std::string EncodeLeaseRequest(double ttl_s);

// Each returns what an answer says, or the first field that is wrong.
ParseResult<TransactionAnswer> ParseTransactionAnswer(const std::string& body);
ParseResult<KeyValue> ParseItem(const std::string& body);
ParseResult<ItemPage> ParseItemPage(const std::string& body);
ParseResult<uint64_t> ParseLease(const std::string& body);
ParseResult<WatchAnswer> ParseWatchAnswer(const std::string& body);

}  // namespace sorrelwood::protocol
