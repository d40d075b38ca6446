// Why a settings file can't be used.
#pragma once

#include <string>
#include <tl/expected.hpp>

namespace sorrelwood {

struct SettingsError {
  std::string file;    // path; empty: the text did not come from a file
  std::string field;   // "fleet.hold_s"; empty: the file as a whole
  std::string reason;  // "must be a string, not empty", ...

  // "file: field: reason", without the parts that are empty.
  std::string Message() const {
    std::string message;
    if (!file.empty()) message += file + ": ";
    if (!field.empty()) message += field + ": ";
    return message + reason;
  }
};

template <typename Settings>
using SettingsResult = tl::expected<Settings, SettingsError>;

}  // namespace sorrelwood
