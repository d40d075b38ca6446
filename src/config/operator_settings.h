// Reads and validates the operators' settings file (operator.proto, protobuf
// text format). Only this file maps the names of its fields to the members of
// PolicySettings.
#pragma once

#include <string>

#include "config/settings_error.h"
#include "core/model/settings.h"

namespace sorrelwood {

// Missing fields keep their defaults; unknown fields are errors.
SettingsResult<PolicySettings> ParseOperatorSettings(const std::string& text);
SettingsResult<PolicySettings> LoadOperatorSettings(const std::string& path);

}  // namespace sorrelwood
