#include "protocol/json_reader.h"

#include <cmath>

namespace sorrelwood::protocol {
namespace {

constexpr double kMaxNumber = 1e12;
// The largest integer that is accepted as a decimal. It is below 2^53, so every
// integer up to it has an exact representation as a double.
constexpr double kMaxDecimalCount = 9e15;

}  // namespace

Json ParseJson(const std::string& text) {
  return Json::parse(text, nullptr, /*allow_exceptions=*/false);
}

ParseResult<Json> ParseJsonObject(const std::string& text) {
  Json object = ParseJson(text);
  if (!object.is_object())
    return MakeParseError("", "the body is not a JSON object");
  return object;
}

std::string WriteJson(const Json& value) {
  return value.dump(/*indent=*/-1, ' ', /*ensure_ascii=*/false,
                    Json::error_handler_t::replace);
}

const Json* JsonReader::Find(const char* field) const {
  const auto value = object_.find(field);
  if (value == object_.end() || value->is_null()) return nullptr;
  return &*value;
}

std::string JsonReader::ReadString(const char* field, Presence presence,
                                   EmptyString empty) {
  const Json* value = Find(field);
  if (!value) {
    FailIfRequired(field, presence);
    return "";
  }
  if (!value->is_string()) {
    Fail(field, "must be a string");
    return "";
  }
  auto text = value->get<std::string>();
  if (text.empty() && empty == EmptyString::kRefused)
    Fail(field, "must not be empty");
  if (text.size() > max_string_bytes_) Fail(field, "is too long");
  return text;
}

double JsonReader::ReadNumber(const char* field, double minimum,
                              Presence presence) {
  const Json* value = Find(field);
  if (!value) {
    FailIfRequired(field, presence);
    return 0;
  }
  if (!value->is_number()) {
    Fail(field, "must be a number");
    return 0;
  }
  const double number = value->get<double>();
  if (!std::isfinite(number) || number < minimum || number > kMaxNumber) {
    Fail(field, "is out of range");
    return 0;
  }
  return number;
}

uint64_t JsonReader::ReadCount(const char* field, Presence presence) {
  const Json* value = Find(field);
  if (!value) {
    FailIfRequired(field, presence);
    return 0;
  }
  if (value->is_number_unsigned()) return value->get<uint64_t>();
  if (value->is_number_float()) {
    const double number = value->get<double>();
    if (number >= 0 && number <= kMaxDecimalCount &&
        number == std::floor(number))
      return static_cast<uint64_t>(number);
  }
  Fail(field, "must be a whole number, 0 or more");
  return 0;
}

bool JsonReader::ReadBool(const char* field, Presence presence) {
  const Json* value = Find(field);
  if (!value) {
    FailIfRequired(field, presence);
    return false;
  }
  if (!value->is_boolean()) {
    Fail(field, "must be true or false");
    return false;
  }
  return value->get<bool>();
}

std::vector<std::string> JsonReader::ReadStrings(const char* field) {
  std::vector<std::string> strings;
  const Json* value = Find(field);
  if (!value) return strings;
  if (!value->is_array()) {
    Fail(field, "must be a list of strings");
    return strings;
  }
  for (const Json& item : *value) {
    if (!item.is_string()) {
      Fail(field, "must be a list of strings");
      return strings;
    }
    strings.push_back(item.get<std::string>());
  }
  return strings;
}

void JsonReader::Fail(const char* field, std::string reason) {
  if (!ok_) return;
  ok_ = false;
  error_ = {field, std::move(reason)};
}

void JsonReader::FailIfRequired(const char* field, Presence presence) {
  if (presence == Presence::kRequired) Fail(field, "is missing");
}

}  // namespace sorrelwood::protocol
