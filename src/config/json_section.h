// Reads the fields of nested JSON objects and checks them. Fields that are not
// asked for are ignored, so that newer files can be read by older versions.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/settings_error.h"

namespace sorrelwood {

// Keeps the first error that is reported to it; the reader goes on with
// replacement values, so that it need not check after each field.
class SettingsErrorCollector {
 public:
  void Report(const std::string& field, const std::string& reason) {
    if (!first_) first_ = SettingsError{"", field, reason};
  }
  const std::optional<SettingsError>& first() const { return first_; }

 private:
  std::optional<SettingsError> first_;
};

// The values that a number may have, ends included.
struct NumberRange {
  double min = 0;
  double max = 0;

  // False for what is not a number (NaN), too.
  bool Contains(double number) const { return number >= min && number <= max; }
};

// One object of a settings file. It points into the parsed document and to a
// collector of errors; both must live longer.
class JsonSection {
 public:
  // `path` names the object in errors; empty for the whole document. A null
  // `object` is one that could not be read: all of its fields are missing.
  JsonSection(const nlohmann::json* object, std::string path,
              SettingsErrorCollector* errors)
      : object_(object), path_(std::move(path)), errors_(errors) {}

  // The field is there and is not null.
  bool Has(const char* name) const { return Find(name) != nullptr; }

  // A nested object.
  JsonSection Section(const char* name) const;
  // A list of objects; empty when the field is missing.
  std::vector<JsonSection> Sections(const char* name) const;
  // A string that must not be empty.
  std::string Text(const char* name) const;
  // The same, or an empty string when the field is missing.
  std::string OptionalText(const char* name) const;
  // "IPv4 address:port".
  std::string Address(const char* name) const;
  // A number within `range`.
  double Number(const char* name, const NumberRange& range) const;
  // The same, or `fallback` when the field is missing.
  double OptionalNumber(const char* name, const NumberRange& range,
                        double fallback) const;
  // A number within `range`, without its fraction.
  int Count(const char* name, const NumberRange& range) const;

  // Reports what is wrong with a field.
  void Report(const char* name, const std::string& reason) const;
  // The same object, its errors reported elsewhere.
  JsonSection WithErrors(SettingsErrorCollector* errors) const;

 private:
  const nlohmann::json* Find(const char* name) const;
  std::string FieldPath(const char* name) const;

  const nlohmann::json* object_;
  std::string path_;
  SettingsErrorCollector* errors_;
};

}  // namespace sorrelwood
