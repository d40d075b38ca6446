#include "state/state_client.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "base/constants.h"
#include "protocol/field_names.h"
#include "protocol/state_service_codec.h"

namespace sorrelwood {
namespace {

// What an answer says about a request that changes something.
Outcome OutcomeOf(const HttpAnswer& answer) {
  if (answer.status == 200) return Outcome::kOk;
  if (answer.status == 409 || answer.status == 404) return Outcome::kConflict;
  // 429, 503 and 400 are answers of the service that it did nothing.
  if (answer.status == 429 || answer.status == 503 || answer.status == 400 ||
      answer.not_sent)
    return Outcome::kRefused;
  return Outcome::kUnknown;
}

// A lease that has ended gets 400 as well; it is no matter of size.
StateRefusal RefusalOf(const StateTransaction& transaction, int status) {
  const bool leased =
      std::any_of(transaction.mutations.begin(), transaction.mutations.end(),
                  [](const Mutation& op) { return op.lease != 0; });
  if (transaction.mutations.empty() || leased) return StateRefusal::kNone;
  if (status == 400) return StateRefusal::kTooLarge;
  if (status == 429) return StateRefusal::kTooManyChanges;
  return StateRefusal::kNone;
}

}  // namespace

StateClient::StateClient(const std::string& address, double timeout_s)
    : http_(address, timeout_s) {}

StateResult StateClient::Transact(const StateTransaction& transaction) {
  StateResult result;
  result.id = transaction.id;
  const HttpAnswer answer = http_.Post(
      protocol::path::kTransaction, protocol::EncodeTransaction(transaction));
  result.outcome = OutcomeOf(answer);
  result.refusal = RefusalOf(transaction, answer.status);
  if (answer.status == 404) result.outcome = Outcome::kRefused;
  if (result.outcome != Outcome::kOk && result.outcome != Outcome::kConflict)
    return result;
  auto transacted = protocol::ParseTransactionAnswer(answer.body);
  if (!transacted) {
    result.outcome = Outcome::kUnknown;
    return result;
  }
  result.revision = transacted->revision;
  result.failed = std::move(transacted->failed_keys);
  return result;
}

StateResult StateClient::Get(const StateGet& get) {
  StateResult result;
  result.id = get.id;
  const HttpAnswer answer =
      http_.Get(std::string(protocol::path::kKeys) + "/" + get.key);
  result.outcome = OutcomeOf(answer);
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
  for (bool more = true; more;) {
    std::string path = std::string(protocol::path::kKeys) + "?" +
                       protocol::query::kPrefix + "=" + list.prefix + "&" +
                       protocol::query::kLimit + "=" +
                       std::to_string(kListPage);
    if (!after.empty())
      path += std::string("&") + protocol::query::kAfter + "=" + after;
    const HttpAnswer answer = http_.Get(path);
    result.outcome = OutcomeOf(answer);
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
    more = page->has_more;
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
      std::string(protocol::path::kWatch) + "?" + protocol::query::kPrefix +
      "=" + watch.prefix + "&" + protocol::query::kAfter + "=" +
      std::to_string(watch.after) + "&" + protocol::query::kWaitMs + "=" +
      std::to_string(std::lround(kWatchS * 1000)));
  result.outcome = OutcomeOf(answer);
  if (answer.status == 410) {
    result.outcome = Outcome::kOk;
    result.too_old = true;
    return result;
  }
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
  const HttpAnswer answer = http_.Post(
      protocol::path::kLeases, protocol::EncodeLeaseRequest(create.ttl_s));
  result.outcome = OutcomeOf(answer);
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
      http_.Post(std::string(protocol::path::kLeases) + "/" +
                     std::to_string(renew.lease) + protocol::path::kRenew,
                 "{}");
  result.outcome = OutcomeOf(answer);
  return result;
}

}  // namespace sorrelwood
