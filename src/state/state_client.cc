#include "state/state_client.h"

#include <algorithm>
#include <cmath>

#include "base/constants.h"
#include "protocol/json.h"

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
  const HttpAnswer answer =
      http_.Post("/multi", wire::EncodeTransaction(transaction));
  result.outcome = OutcomeOf(answer);
  result.refusal = RefusalOf(transaction, answer.status);
  if (answer.status == 404) result.outcome = Outcome::kRefused;
  if ((result.outcome == Outcome::kOk ||
       result.outcome == Outcome::kConflict) &&
      !wire::ParseRevision(answer.body, &result))
    result.outcome = Outcome::kUnknown;
  return result;
}

StateResult StateClient::Get(const StateGet& get) {
  StateResult result;
  result.id = get.id;
  const HttpAnswer answer = http_.Get("/keys/" + get.key);
  result.outcome = OutcomeOf(answer);
  if (result.outcome == Outcome::kOk && !wire::ParseItem(answer.body, &result))
    result.outcome = Outcome::kUnknown;
  return result;
}

StateResult StateClient::List(const StateList& list) {
  StateResult result;
  result.id = list.id;
  std::string after;
  uint64_t first_revision = 0;
  for (bool more = true; more;) {
    std::string path =
        "/keys?under=" + list.prefix + "&most=" + std::to_string(kListPage);
    if (!after.empty()) path += "&after=" + after;
    const HttpAnswer answer = http_.Get(path);
    result.outcome = OutcomeOf(answer);
    if (result.outcome != Outcome::kOk) return result;
    const size_t before = result.items.size();
    if (!wire::ParseItems(answer.body, &result, &more)) {
      result.outcome = Outcome::kUnknown;
      return result;
    }
    if (first_revision == 0) first_revision = result.revision;
    if (result.items.size() == before) break;
    after = result.items.back().key;
  }
  // The pages may be of different moments: only the first is safe to watch
  // from.
  result.revision = first_revision;
  return result;
}

StateResult StateClient::Watch(const StateWatch& watch) {
  StateResult result;
  result.id = watch.id;
  const HttpAnswer answer =
      http_.Get("/follow?under=" + watch.prefix +
                "&after=" + std::to_string(watch.after) +
                "&wait_ms=" + std::to_string(std::lround(kWatchS * 1000)));
  result.outcome = OutcomeOf(answer);
  if (answer.status == 410) {
    result.outcome = Outcome::kOk;
    result.too_old = true;
  } else if (result.outcome == Outcome::kOk &&
             !wire::ParseEvents(answer.body, &result)) {
    result.outcome = Outcome::kUnknown;
  }
  return result;
}

StateResult StateClient::CreateLease(const LeaseCreate& create) {
  StateResult result;
  result.id = create.id;
  const HttpAnswer answer =
      http_.Post("/leases", wire::EncodeLease(create.ttl_s));
  result.outcome = OutcomeOf(answer);
  if (result.outcome == Outcome::kOk && !wire::ParseLease(answer.body, &result))
    result.outcome = Outcome::kUnknown;
  return result;
}

StateResult StateClient::RenewLease(const LeaseRenew& renew) {
  StateResult result;
  result.id = renew.id;
  const HttpAnswer answer =
      http_.Post("/leases/" + std::to_string(renew.lease) + "/renew", "{}");
  result.outcome = OutcomeOf(answer);
  return result;
}

}  // namespace sorrelwood
