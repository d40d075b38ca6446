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

// The answer to a transaction that was committed (200) or not (409).
struct TransactionAnswer {
  uint64_t revision = 0;                 // of the store, after the transaction
  std::vector<std::string> failed_keys;  // whose preconditions did not hold
};

// One page of a listing, ordered by key.
struct ItemPage {
  uint64_t revision = 0;  // of the store, when the page was read
  std::vector<KeyValue> items;
  bool has_more = false;  // another page follows
};

// The answer to a watch.
struct WatchAnswer {
  uint64_t revision = 0;  // after which the next watch continues
  std::vector<KeyValue> changes;
};

// Each function named ...Target returns the target (path and query) of a
// request.

// Reads one key.
std::string KeyTarget(const std::string& key);

// Reads one page of a listing: at most `limit` keys with the prefix that are
// after `after`. An empty `after` gives the first page.
std::string ItemPageTarget(const std::string& prefix, const std::string& after,
                           int limit);

// Waits for changes after revision `after` of keys with the prefix, for at most
// `wait_s` seconds.
std::string WatchTarget(const std::string& prefix, uint64_t after,
                        double wait_s);

// Renews a lease.
std::string RenewLeaseTarget(uint64_t lease);

// Returns the body of a transaction. Without mutations the transaction only
// checks its preconditions.
std::string EncodeTransaction(const StateTransaction& transaction);

// Returns the body of a request for a lease with a time to live of `ttl_s`
// seconds.
std::string EncodeLeaseRequest(double ttl_s);

// Each parser returns the content of an answer, or an error for the first
// invalid field.
ParseResult<TransactionAnswer> ParseTransactionAnswer(const std::string& body);
ParseResult<KeyValue> ParseItem(const std::string& body);
ParseResult<ItemPage> ParseItemPage(const std::string& body);
ParseResult<uint64_t> ParseLease(const std::string& body);
ParseResult<WatchAnswer> ParseWatchAnswer(const std::string& body);

}  // namespace sorrelwood::protocol
