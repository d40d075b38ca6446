// Describes why a settings file is invalid.
#pragma once

#include <string>
#include <tl/expected.hpp>

namespace sorrelwood {

struct SettingsError {
  std::string file;    // path; empty if the text was not read from a file
  std::string field;   // "fleet.hold_s"; empty for the file as a whole
  std::string reason;  // "must be from 0 to 10, got 12"

  // "file: field: reason" without the empty parts.
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
