// Reads and validates the fields of nested JSON objects. Unknown fields are
// ignored, so that older versions can read newer files.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/settings_error.h"

namespace sorrelwood {

// Keeps the first error reported. The reader continues with placeholder values
// after an error, so that callers need not check after each field.
class SettingsErrorCollector {
 public:
  void Report(const std::string& field, const std::string& reason) {
    if (!first_) first_ = SettingsError{"", field, reason};
  }
  const std::optional<SettingsError>& first() const { return first_; }

 private:
  std::optional<SettingsError> first_;
};

// The allowed values of a number, ends included.
struct NumberRange {
  double min = 0;
  double max = 0;

  // False for NaN.
  bool Contains(double number) const { return number >= min && number <= max; }
  // For error messages: "from 0 to 10".
  std::string Describe() const;
};

// Formats a number for error messages, without an exponent up to 1e12.
std::string FormatNumber(double number);

// A value for error messages: scalars as JSON text, cut off if long; "a list"
// or "an object" for structured values.
std::string DescribeJsonValue(const nlohmann::json& value);

// One object of a settings file. It refers to the parsed document and to an
// error collector, which both must outlive it.
class JsonSection {
 public:
  // `path` names the object in errors; empty for the whole document. A null
  // `object` stands for a missing or invalid one: all of its fields are
  // missing.
  JsonSection(const nlohmann::json* object, std::string path,
              SettingsErrorCollector* errors)
      : object_(object), path_(std::move(path)), errors_(errors) {}

  // True if the field is present and not null. Null counts as missing in all
  // functions below.
  bool Has(const char* name) const { return Find(name) != nullptr; }

  // A required nested object.
  JsonSection Section(const char* name) const;
  // A list of objects; empty when the field is missing.
  std::vector<JsonSection> Sections(const char* name) const;
  // A required non-empty string; empty after an error.
  std::string Text(const char* name) const;
  // A non-empty string, or an empty one if the field is missing.
  std::string OptionalText(const char* name) const;
  // A required IPv4 address and port, as "IP:port".
  std::string Address(const char* name) const;
  // A required number within `range`; the lower end of `range` after an error.
  double Number(const char* name, const NumberRange& range) const;
  // A number within `range`, or `fallback` if the field is missing.
  double OptionalNumber(const char* name, const NumberRange& range,
                        double fallback) const;
  // A required number within `range`, its fraction cut off.
  int Count(const char* name, const NumberRange& range) const;

  // Reports an error in the field `name`.
  void Report(const char* name, const std::string& reason) const;
  // The same object with its errors reported to another collector.
  JsonSection WithErrors(SettingsErrorCollector* errors) const;

 private:
  // Null if the field is missing or null.
  const nlohmann::json* Find(const char* name) const;
  // The field's path from the root of the document: "cluster.teams[0].name".
  std::string FieldPath(const char* name) const;

  const nlohmann::json* object_;
  std::string path_;
  SettingsErrorCollector* errors_;
};

}  // namespace sorrelwood
