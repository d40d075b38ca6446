#include "state/state_client.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/constants.h"
#include "protocol/field_names.h"
#include "protocol/state_service_codec.h"
#include "protocol/status_codes.h"

namespace sorrelwood {
namespace {

namespace path = protocol::path;
namespace status = protocol::status;

// Tells whether the service has carried out a request.
Outcome OutcomeOfAnswer(const HttpAnswer& answer) {
  switch (answer.status) {
    case status::kOk: return Outcome::kOk;
    case status::kConflict:
    case status::kNotFound: return Outcome::kConflict;
    case status::kTooManyRequests:
    case status::kServiceUnavailable:
    case status::kBadRequest: return Outcome::kRefused;
    default: return answer.not_sent ? Outcome::kRefused : Outcome::kUnknown;
  }
}

// Tells which limit of the service a refused transaction is over. A lease that
// has ended gets the same status as a transaction that is too large, so one
// with a lease is over none.
StateRefusal RefusalOfTransaction(const StateTransaction& transaction,
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
  const HttpAnswer answer =
      http_.Post(path::kTransaction, protocol::EncodeTransaction(transaction));
  result.outcome = OutcomeOfAnswer(answer);
  result.refusal = RefusalOfTransaction(transaction, answer.status);
  // No key is asked for that might not be found.
  if (answer.status == status::kNotFound) result.outcome = Outcome::kRefused;
  if (result.outcome != Outcome::kOk && result.outcome != Outcome::kConflict)
    return result;
  auto transacted = protocol::ParseTransactionAnswer(answer.body);
  if (!transacted) {
    result.outcome = Outcome::kUnknown;
    return result;
  }
  result.revision = transacted->revision;
  result.failed_preconditions = std::move(transacted->failed_keys);
  return result;
}

StateResult StateClient::Get(const StateGet& get) {
  StateResult result;
  result.id = get.id;
  const HttpAnswer answer = http_.Get(protocol::KeyTarget(get.key));
  result.outcome = OutcomeOfAnswer(answer);
  if (result.outcome != Outcome::kOk) return result;
  if (auto item = protocol::ParseItem(answer.body))
    result.items.push_back(std::move(*item));
  else
    result.outcome = Outcome::kUnknown;
  return result;
}

StateResult StateClient::List(const StateList& list) {
  StateResult result;
  result.id = list.id;
  std::string after;
  uint64_t first_revision = 0;
  for (bool has_more = true; has_more;) {
    const HttpAnswer answer =
        http_.Get(protocol::ItemPageTarget(list.prefix, after, kListPageItems));
    result.outcome = OutcomeOfAnswer(answer);
    if (result.outcome != Outcome::kOk) return result;
    auto page = protocol::ParseItemPage(answer.body);
    if (!page) {
      result.outcome = Outcome::kUnknown;
      return result;
    }
    if (first_revision == 0) first_revision = page->revision;
    if (page->items.empty()) break;
    std::move(page->items.begin(), page->items.end(),
              std::back_inserter(result.items));
    after = result.items.back().key;
    has_more = page->has_more;
  }
  // The pages may be of different moments: only the first is safe to watch
  // from.
  result.revision = first_revision;
  return result;
}

StateResult StateClient::Watch(const StateWatch& watch) {
  StateResult result;
  result.id = watch.id;
  const HttpAnswer answer = http_.Get(
      protocol::WatchTarget(watch.prefix, watch.after, kWatchDurationS));
  if (answer.status == status::kGone) {
    result.outcome = Outcome::kOk;
    result.too_old = true;
    return result;
  }
  result.outcome = OutcomeOfAnswer(answer);
  if (result.outcome != Outcome::kOk) return result;
  auto watched = protocol::ParseWatchAnswer(answer.body);
  if (!watched) {
    result.outcome = Outcome::kUnknown;
    return result;
  }
  result.revision = watched->revision;
  result.items = std::move(watched->changes);
  return result;
}

StateResult StateClient::CreateLease(const LeaseCreate& create) {
  StateResult result;
  result.id = create.id;
  const HttpAnswer answer =
      http_.Post(path::kLeases, protocol::EncodeLeaseRequest(create.ttl_s));
  result.outcome = OutcomeOfAnswer(answer);
  if (result.outcome != Outcome::kOk) return result;
  if (const auto lease = protocol::ParseLease(answer.body))
    result.lease = *lease;
  else
    result.outcome = Outcome::kUnknown;
  return result;
}

StateResult StateClient::RenewLease(const LeaseRenew& renew) {
  StateResult result;
  result.id = renew.id;
  const HttpAnswer answer =
      http_.Post(protocol::RenewLeaseTarget(renew.lease), "{}");
  result.outcome = OutcomeOfAnswer(answer);
  return result;
}

}  // namespace sorrelwood
