#include "state/state_client.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/constants/state_service.h"
#include "protocol/field_names.h"
#include "protocol/state_service_codec.h"
#include "protocol/status_codes.h"

namespace sorrelwood {
namespace {

namespace path = protocol::path;
namespace status = protocol::status;

// Returns whether the service has executed a request.
Outcome DetermineOutcome(const HttpResult& response) {
  switch (response.status) {
    case status::kOk: return Outcome::kOk;
    case status::kConflict:
    case status::kNotFound: return Outcome::kConflict;
    case status::kTooManyRequests:
    case status::kServiceUnavailable:
    case status::kBadRequest: return Outcome::kRefused;
    default: return response.not_sent ? Outcome::kRefused : Outcome::kUnknown;
  }
}

// Returns the limit of the service that a refused transaction exceeds. The
// status of a transaction that is too large also stands for an expired lease,
// so no limit is inferred for transactions that contain a lease.
StateRefusal DetermineRefusal(const StateTransaction& transaction,
                              int status_code) {
  const bool has_lease =
      std::any_of(transaction.mutations.begin(), transaction.mutations.end(),
                  [](const Mutation& mutation) { return mutation.lease != 0; });
  if (transaction.mutations.empty() || has_lease) return StateRefusal::kNone;
  if (status_code == status::kBadRequest) return StateRefusal::kTooLarge;
  if (status_code == status::kTooManyRequests)
    return StateRefusal::kTooManyChanges;
  return StateRefusal::kNone;
}

}  // namespace

StateClient::StateClient(const std::string& address, double timeout_s)
    : http_(address, timeout_s) {}

StateResult StateClient::Transact(const StateTransaction& transaction) {
  StateResult result;
  result.id = transaction.id;
  const HttpResult response =
      http_.Post(path::kTransaction, protocol::EncodeTransaction(transaction));
  result.outcome = DetermineOutcome(response);
  result.refusal = DetermineRefusal(transaction, response.status);
  // Transactions never request a key that may be missing, so 404 means that the
  // service did not execute this one.
  if (response.status == status::kNotFound) result.outcome = Outcome::kRefused;
  if (result.outcome != Outcome::kOk && result.outcome != Outcome::kConflict)
    return result;
  auto parsed = protocol::ParseTransactionAnswer(response.body);
  if (!parsed) {
    result.outcome = Outcome::kUnknown;
    return result;
  }
  result.revision = parsed->revision;
  result.failed_preconditions = std::move(parsed->failed_keys);
  return result;
}

StateResult StateClient::Get(const StateGet& get) {
  StateResult result;
  result.id = get.id;
  const HttpResult response = http_.Get(protocol::KeyTarget(get.key));
  result.outcome = DetermineOutcome(response);
  if (result.outcome != Outcome::kOk) return result;
  if (auto item = protocol::ParseItem(response.body))
    result.items.push_back(std::move(*item));
  else
    result.outcome = Outcome::kUnknown;
  return result;
}

StateResult StateClient::List(const StateList& list) {
  StateResult result;
  result.id = list.id;
  std::string last_key;
  uint64_t first_revision = 0;
  for (bool has_more = true; has_more;) {
    const HttpResult response = http_.Get(
        protocol::ItemPageTarget(list.prefix, last_key, kListPageItems));
    result.outcome = DetermineOutcome(response);
    if (result.outcome != Outcome::kOk) return result;
    auto page = protocol::ParseItemPage(response.body);
    if (!page) {
      result.outcome = Outcome::kUnknown;
      return result;
    }
    if (first_revision == 0) first_revision = page->revision;
    if (page->items.empty()) break;
    std::move(page->items.begin(), page->items.end(),
              std::back_inserter(result.items));
    last_key = result.items.back().key;
    has_more = page->has_more;
  }
  // The pages may be from different points in time. A watch from the first
  // page's revision reports every change since then.
  result.revision = first_revision;
  return result;
}

StateResult StateClient::Watch(const StateWatch& watch) {
  StateResult result;
  result.id = watch.id;
  const HttpResult response = http_.Get(
      protocol::WatchTarget(watch.prefix, watch.after, kWatchDurationS));
  if (response.status == status::kGone) {
    result.outcome = Outcome::kOk;
    result.too_old = true;
    return result;
  }
  result.outcome = DetermineOutcome(response);
  if (result.outcome != Outcome::kOk) return result;
  auto parsed = protocol::ParseWatchAnswer(response.body);
  if (!parsed) {
    result.outcome = Outcome::kUnknown;
    return result;
  }
  result.revision = parsed->revision;
  result.items = std::move(parsed->changes);
  return result;
}

StateResult StateClient::CreateLease(const LeaseCreate& create) {
  StateResult result;
  result.id = create.id;
  const HttpResult response =
      http_.Post(path::kLeases, protocol::EncodeLeaseRequest(create.ttl_s));
  result.outcome = DetermineOutcome(response);
  if (result.outcome != Outcome::kOk) return result;
  if (const auto lease = protocol::ParseLease(response.body))
    result.lease = *lease;
  else
    result.outcome = Outcome::kUnknown;
  return result;
}

StateResult StateClient::RenewLease(const LeaseRenew& renew) {
  StateResult result;
  result.id = renew.id;
  const HttpResult response =
      http_.Post(protocol::RenewLeaseTarget(renew.lease), "{}");
  result.outcome = DetermineOutcome(response);
  return result;
}

}  // namespace sorrelwood
