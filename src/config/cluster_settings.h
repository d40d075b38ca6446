// Reads and validates the platform's settings file (JSON). Only this file maps
// the names of its fields to the members of ClusterSettings.
#pragma once

#include <string>

#include "config/settings_error.h"
#include "core/model/settings.h"

namespace sorrelwood {

// Returns the first error in the text. Invalid objectives are not errors; they
// are listed in `ignored_objectives`.
SettingsResult<ClusterSettings> ParseClusterSettings(const std::string& text);
SettingsResult<ClusterSettings> LoadClusterSettings(const std::string& path);

}  // namespace sorrelwood
