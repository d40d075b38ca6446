#include "protocol/state_service_codec.h"

#include <cmath>
#include <utility>

#include "base/constants/user_requests.h"
#include "protocol/field_names.h"
#include "protocol/json_reader.h"

namespace sorrelwood::protocol {
namespace {

constexpr double kMsPerS = 1000;

std::string FormatParameter(const char* name, const std::string& value) {
  return std::string(name) + "=" + value;
}

Json WritePreconditions(const std::vector<Precondition>& preconditions) {
  Json list = Json::array();
  for (const Precondition& precondition : preconditions)
    list.push_back({{field::kKey, precondition.key},
                    {field::kVersion, precondition.version}});
  return list;
}

Json WriteMutation(const Mutation& mutation) {
  if (mutation.remove) return {{field::kRemove, mutation.key}};
  Json object = {{field::kSet, mutation.key},
                 {field::kValue, ParseJson(mutation.value)}};
  if (mutation.lease != 0) object[field::kLease] = mutation.lease;
  return object;
}

// Absent fields read as the default of their type.
KeyValue ReadItem(const Json& object) {
  KeyValue item;
  item.key = object.value(field::kKey, "");
  item.version = object.value(field::kVersion, uint64_t{0});
  const auto value = object.find(field::kValue);
  if (value != object.end()) item.value = WriteJson(*value);
  return item;
}

ParseResult<KeyValue> ReadChange(const Json& object) {
  JsonReader reader(object, kMaxStateKeyBytes);
  KeyValue change;
  change.version = reader.ReadCount(field::kVersion);
  if (reader.Find(field::kRemove)) {
    change.removed = true;
    change.key = reader.ReadString(field::kRemove);
  } else {
    change.key = reader.ReadString(field::kSet);
    if (const Json* value = reader.Find(field::kValue))
      change.value = WriteJson(*value);
  }
  return reader.Finish(std::move(change));
}

}  // namespace

std::string KeyTarget(const std::string& key) {
  return std::string(path::kKeys) + "/" + key;
}

std::string ItemPageTarget(const std::string& prefix, const std::string& after,
                           int limit) {
  std::string target = std::string(path::kKeys) + "?" +
                       FormatParameter(query::kPrefix, prefix) + "&" +
                       FormatParameter(query::kLimit, std::to_string(limit));
  if (!after.empty()) target += "&" + FormatParameter(query::kAfter, after);
  return target;
}

std::string WatchTarget(const std::string& prefix, uint64_t after,
                        double wait_s) {
  const auto wait_ms = std::lround(wait_s * kMsPerS);
  return std::string(path::kWatch) + "?" +
         FormatParameter(query::kPrefix, prefix) + "&" +
         FormatParameter(query::kAfter, std::to_string(after)) + "&" +
         FormatParameter(query::kWaitMs, std::to_string(wait_ms));
}

std::string RenewLeaseTarget(uint64_t lease) {
  return std::string(path::kLeases) + "/" + std::to_string(lease) +
         path::kRenew;
}

std::string EncodeTransaction(const StateTransaction& transaction) {
  Json object = {
      {field::kPreconditions, WritePreconditions(transaction.preconditions)}};
  if (!transaction.mutations.empty()) {
    Json mutations = Json::array();
    for (const Mutation& mutation : transaction.mutations)
      mutations.push_back(WriteMutation(mutation));
    object[field::kMutations] = std::move(mutations);
  }
  return WriteJson(object);
}

std::string EncodeLeaseRequest(double ttl_s) {
  return WriteJson({{field::kTtlMs, static_cast<int64_t>(ttl_s * kMsPerS)}});
}

ParseResult<TransactionAnswer> ParseTransactionAnswer(const std::string& body) {
  const ParseResult<Json> object = ParseJsonObject(body);
  if (!object) return tl::unexpected(object.error());
  JsonReader reader(*object);
  TransactionAnswer answer;
  answer.revision = reader.ReadCount(field::kRevision);
  answer.failed_keys = reader.ReadStrings(field::kFailedKeys);
  return reader.Finish(std::move(answer));
}

ParseResult<KeyValue> ParseItem(const std::string& body) {
  const ParseResult<Json> object = ParseJsonObject(body);
  if (!object) return tl::unexpected(object.error());
  if (!object->contains(field::kKey))
    return MakeParseError(field::kKey, "is missing");
  return ReadItem(*object);
}

ParseResult<ItemPage> ParseItemPage(const std::string& body) {
  const ParseResult<Json> object = ParseJsonObject(body);
  if (!object) return tl::unexpected(object.error());
  JsonReader reader(*object);
  ItemPage page;
  page.has_more = reader.ReadBool(field::kHasMore, Presence::kOptional);
  page.revision = reader.ReadCount(field::kRevision);
  if (!reader.ok()) return tl::unexpected(reader.error());
  auto items = ReadObjects<KeyValue>(*object, field::kItems, ReadItem);
  if (!items) return tl::unexpected(items.error());
  page.items = std::move(*items);
  return page;
}

ParseResult<uint64_t> ParseLease(const std::string& body) {
  const ParseResult<Json> object = ParseJsonObject(body);
  if (!object) return tl::unexpected(object.error());
  JsonReader reader(*object);
  return reader.Finish(reader.ReadCount(field::kLease));
}

ParseResult<WatchAnswer> ParseWatchAnswer(const std::string& body) {
  const ParseResult<Json> object = ParseJsonObject(body);
  if (!object) return tl::unexpected(object.error());
  JsonReader reader(*object);
  WatchAnswer answer;
  answer.revision = reader.ReadCount(field::kRevision);
  if (!reader.ok()) return tl::unexpected(reader.error());
  if (!reader.Find(field::kEvents)) return answer;  // no changes
  auto changes = ReadObjects<KeyValue>(*object, field::kEvents, ReadChange);
  if (!changes) return tl::unexpected(changes.error());
  answer.changes = std::move(*changes);
  return answer;
}

}  // namespace sorrelwood::protocol
