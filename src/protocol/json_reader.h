// Parsing and writing JSON without exceptions. JsonReader validates type and
// range of each field that it reads, and keeps the first error. Only the codecs
// of this folder use this header.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "base/constants/user_requests.h"
#include "base/parse_error.h"

namespace sorrelwood::protocol {

using Json = nlohmann::json;

// Returns the parsed text, or a discarded value (is_discarded()) if it is not
// JSON.
Json ParseJson(const std::string& text);

// Returns the parsed text, or an error with an empty field name if it is not a
// JSON object.
ParseResult<Json> ParseJsonObject(const std::string& text);

// Returns compact JSON text with the fields of objects in alphabetical order.
// Bytes that are not valid UTF-8 are replaced.
std::string WriteJson(const Json& value);

// Whether a field must be present. An optional field that is absent or null
// reads as the default of its type.
enum class Presence { kRequired, kOptional };

// Reads the fields of one object. An invalid field reads as the default of its
// type, except that a string of invalid length is returned unchanged. The first
// error is kept for error().
class JsonReader {
 public:
  // Whether an empty string is an error.
  enum class EmptyString { kRefused, kAllowed };

  // `object` must outlive the reader. Longer strings are errors.
  explicit JsonReader(const Json& object, size_t max_string_bytes = kMaxIdBytes)
      : object_(object), max_string_bytes_(max_string_bytes) {}

  // True if no field so far was invalid.
  bool ok() const { return ok_; }
  // The first error. Only valid if not ok().
  const ParseError& error() const { return error_; }

  // Returns `value` if ok(), otherwise the first error.
  template <typename Value>
  ParseResult<Value> Finish(Value value) const {
    if (!ok_) return tl::unexpected(error_);
    return value;
  }

  // Returns the field's value; null if the field is absent or null.
  const Json* Find(const char* field) const;

  // Reads a string.
  std::string ReadString(const char* field,
                         Presence presence = Presence::kRequired,
                         EmptyString empty = EmptyString::kRefused);
  // Reads a finite number from `minimum` to 1e12.
  double ReadNumber(const char* field, double minimum,
                    Presence presence = Presence::kRequired);
  // Reads a non-negative integer. A decimal with an integral value, such
  // as 16.0, is accepted.
  uint64_t ReadCount(const char* field,
                     Presence presence = Presence::kRequired);
  bool ReadBool(const char* field, Presence presence = Presence::kRequired);
  // Reads an optional list of strings of any length. Empty if it is absent.
  std::vector<std::string> ReadStrings(const char* field);

  // Records an error unless there already is one.
  void Fail(const char* field, std::string reason);

 private:
  void FailIfRequired(const char* field, Presence presence);

  const Json& object_;
  const size_t max_string_bytes_;
  bool ok_ = true;
  ParseError error_;
};

// Applies `read_object`, which returns a Value or a ParseResult<Value>, to each
// object in the list `field` of `object`. Returns the first error: of
// `read_object`, or because the field is missing, is not a list, or holds an
// item that is not an object.
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
