#include "config/json_section.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <sstream>

#include "http/endpoint.h"

namespace sorrelwood {

using nlohmann::json;

namespace {

// Longer texts are cut off in error messages (bytes).
constexpr size_t kMaxQuotedBytes = 60;

// The last part of an error message: the value that was found. `value` is null
// if the field is missing or null.
std::string DescribeFound(const json* value) {
  return value ? "got " + DescribeJsonValue(*value) : "but is missing or null";
}

}  // namespace

std::string FormatNumber(double number) {
  // Enough digits to print 1e9 and the fractions of a settings file in full.
  constexpr int kDigits = 12;
  std::ostringstream text;
  text.precision(kDigits);
  text << number;
  return text.str();
}

std::string NumberRange::Describe() const {
  return "from " + FormatNumber(min) + " to " + FormatNumber(max);
}

std::string DescribeJsonValue(const json& value) {
  if (value.is_object()) return "an object";
  if (value.is_array()) return "a list";
  std::string text =
      value.dump(/*indent=*/-1, /*indent_char=*/' ', /*ensure_ascii=*/true);
  if (text.size() > kMaxQuotedBytes)
    text = text.substr(0, kMaxQuotedBytes) + "...";
  return text;
}

JsonSection JsonSection::Section(const char* name) const {
  const json* value = Find(name);
  if (!value || !value->is_object()) {
    Report(name, "must be an object, " + DescribeFound(value));
    value = nullptr;
  }
  return {value, FieldPath(name), errors_};
}

std::vector<JsonSection> JsonSection::Sections(const char* name) const {
  std::vector<JsonSection> sections;
  const json* value = Find(name);
  if (!value) return sections;
  if (!value->is_array()) {
    Report(name, "must be a list, " + DescribeFound(value));
    return sections;
  }
  int index = 0;
  for (const json& item : *value) {
    const std::string path =
        FieldPath(name) + "[" + std::to_string(index++) + "]";
    if (!item.is_object())
      errors_->Report(path, "must be an object, " + DescribeFound(&item));
    sections.emplace_back(item.is_object() ? &item : nullptr, path, errors_);
  }
  return sections;
}

std::string JsonSection::Text(const char* name) const {
  const json* value = Find(name);
  if (value && value->is_string() && !value->get<std::string>().empty())
    return value->get<std::string>();
  Report(name, "must be a non-empty string, " + DescribeFound(value));
  return "";
}

std::string JsonSection::OptionalText(const char* name) const {
  return Has(name) ? Text(name) : std::string();
}

std::string JsonSection::Address(const char* name) const {
  std::string text = Text(name);
  Endpoint endpoint;
  if (!text.empty() && !ParseEndpoint(text, &endpoint))
    Report(
        name,
        "must be an IPv4 address and a port from 0 to 65535 (IP:port), got \"" +
            text + "\"");
  return text;
}

double JsonSection::Number(const char* name, const NumberRange& range) const {
  const json* value = Find(name);
  if (value && value->is_number()) {
    const double number = value->get<double>();
    if (range.Contains(number)) return number;
  }
  Report(name,
         "must be a number " + range.Describe() + ", " + DescribeFound(value));
  return range.min;
}

double JsonSection::OptionalNumber(const char* name, const NumberRange& range,
                                   double fallback) const {
  return Has(name) ? Number(name, range) : fallback;
}

int JsonSection::Count(const char* name, const NumberRange& range) const {
  return static_cast<int>(Number(name, range));
}

void JsonSection::Report(const char* name, const std::string& reason) const {
  errors_->Report(FieldPath(name), reason);
}

JsonSection JsonSection::WithErrors(SettingsErrorCollector* errors) const {
  return {object_, path_, errors};
}

const json* JsonSection::Find(const char* name) const {
  if (!object_) return nullptr;
  const auto field = object_->find(name);
  return field == object_->end() || field->is_null() ? nullptr : &*field;
}

std::string JsonSection::FieldPath(const char* name) const {
  return path_.empty() ? name : path_ + "." + name;
}

}  // namespace sorrelwood
