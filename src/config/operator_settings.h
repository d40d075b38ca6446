// Reads and checks the operators' settings (operator.proto, protobuf text
// format). The names of its fields are mapped to those of PolicySettings here
// and nowhere else.
#pragma once

#include <string>

#include "config/settings_error.h"
#include "core/model/settings.h"

namespace sorrelwood {

// Fields that are missing keep their defaults; unknown ones are errors.
SettingsResult<PolicySettings> ParseOperatorSettings(const std::string& text);
SettingsResult<PolicySettings> LoadOperatorSettings(const std::string& path);

}  // namespace sorrelwood
