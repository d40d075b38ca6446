// Reads a settings file from disk.
#pragma once

#include <string>
#include <utility>

#include "config/settings_error.h"

namespace sorrelwood {

// Returns the content of the file at `path`, or an error with this path.
SettingsResult<std::string> ReadSettingsFile(const std::string& path);

// Reads the file at `path` and parses it with `parse`. Errors of both steps
// contain the path.
template <typename Settings>
SettingsResult<Settings> LoadSettingsFile(
    const std::string& path,
    SettingsResult<Settings> (*parse)(const std::string& text)) {
  return ReadSettingsFile(path).and_then(parse).map_error(
      [&path](SettingsError error) {
        error.file = path;
        return error;
      });
}

}  // namespace sorrelwood
