// Reading a settings file from disk.
#pragma once

#include <string>
#include <utility>

#include "config/settings_error.h"

namespace sorrelwood {

// All of the file at `path`, or an error that names it.
SettingsResult<std::string> ReadSettingsFile(const std::string& path);

// Reads the file at `path` and hands its text to `parse`; an error of either
// names the file.
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
