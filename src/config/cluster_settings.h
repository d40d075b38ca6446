// Reads and checks the platform's settings file (JSON). The names of its fields
// are mapped to those of ClusterSettings here and nowhere else.
#pragma once

#include <string>

#include "config/settings_error.h"
#include "core/model/settings.h"

namespace sorrelwood {

// The first error of the file ends the reading, but for objectives: those that
// can't be read are listed in `ignored_objectives`.
SettingsResult<ClusterSettings> ParseClusterSettings(const std::string& text);
SettingsResult<ClusterSettings> LoadClusterSettings(const std::string& path);

}  // namespace sorrelwood
