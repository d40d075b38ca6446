#include "config/settings_file.h"

#include <fstream>
#include <sstream>

namespace sorrelwood {

SettingsResult<std::string> ReadSettingsFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) return tl::unexpected(SettingsError{path, "", "can't be read"});
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

}  // namespace sorrelwood
