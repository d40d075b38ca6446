// Reading and writing JSON without exceptions. JsonReader checks each field it
// reads against the expected type and range and remembers the first error. For
// the codecs of this folder only.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "base/parse_error.h"

namespace sorrelwood::protocol {

using Json = nlohmann::json;

// Returns the parsed text; a discarded value if it is not JSON.
Json ParseJson(const std::string& text);

// Returns the parsed text, or an error without a field if it is not a JSON
// object.
ParseResult<Json> ParseJsonObject(const std::string& text);

// Returns compact JSON text with the fields of objects in alphabetical order.
// Bytes that are not valid UTF-8 are replaced.
std::string WriteJson(const Json& value);

// Whether a field may be absent or null; it then reads as its type's default.
enum class Presence { kRequired, kOptional };

// Reads the fields of one object. A field that is wrong reads as its type's
// default (strings of a wrong length read as they are), and the first error is
// kept for error().
class JsonReader {
 public:
  // Every other string is refused when it is empty.
  enum class EmptyString { kRefused, kAllowed };

  // `object` must outlive the reader.
  explicit JsonReader(const Json& object) : object_(object) {}

  // True while every field read was as it should be.
  bool ok() const { return ok_; }
  // The first error; only when not ok().
  const ParseError& error() const { return error_; }

  // Returns `value`, or the first error if there was one.
  template <typename Value>
  ParseResult<Value> Finish(Value value) const {
    if (!ok_) return tl::unexpected(error_);
    return value;
  }

  // Returns the field's value; null if the field is absent or null.
  const Json* Find(const char* field) const;

  // A string of at most kMaxIdBytes bytes.
  std::string String(const char* field, Presence presence = Presence::kRequired,
                     EmptyString empty = EmptyString::kRefused);
  // A finite number from `minimum` to 1e12.
  double Number(const char* field, double minimum,
                Presence presence = Presence::kRequired);
  // A whole number, 0 or more; also written as a decimal, such as 16.0.
  uint64_t Count(const char* field, Presence presence = Presence::kRequired);
  // True or false.
  bool Bool(const char* field, Presence presence = Presence::kRequired);
  // A list of strings of any length; empty if it is absent.
  std::vector<std::string> Strings(const char* field);

  // Records an error unless there is an earlier one.
  void Fail(const char* field, std::string reason);

 private:
  void FailIfRequired(const char* field, Presence presence);

  const Json& object_;
  bool ok_ = true;
  ParseError error_;
};

// Returns what `read_object` makes of each object in the list `field` of
// `object`; its result is a Value or a ParseResult of one. The first error, or
// one that the field is missing, no list, or holds something else, ends it.
template <typename Value, typename ReadObject>
ParseResult<std::vector<Value>> ReadObjects(const Json& object,
                                            const char* field,
                                            ReadObject read_object) {
  const Json* list = JsonReader(object).Find(field);
  if (!list) return MakeParseError(field, "is missing");
  if (!list->is_array()) return MakeParseError(field, "must be a list");
  std::vector<Value> values;
  for (const Json& item : *list) {
    if (!item.is_object()) return MakeParseError(field, "must hold objects");
    ParseResult<Value> value = read_object(item);
    if (!value) return tl::unexpected(value.error());
    values.push_back(std::move(*value));
  }
  return values;
}

}  // namespace sorrelwood::protocol
