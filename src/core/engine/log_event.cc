#include "core/engine/log_event.h"

#include <fmt/format.h>

#include <iterator>
#include <type_traits>

namespace sorrelwood {
namespace {

std::string FormatValue(const LogField::Value& value) {
  return std::visit(
      [](const auto& item) -> std::string {
        using Type = std::decay_t<decltype(item)>;
        if constexpr (std::is_same_v<Type, double>) {
          return fmt::format("{:.3f}", item);
        } else if constexpr (std::is_same_v<Type, std::string>) {
          const bool needs_no_quotes =
              !item.empty() && item.find(' ') == std::string::npos;
          return needs_no_quotes ? item : fmt::format("\"{}\"", item);
        } else {
          return fmt::format("{}", item);
        }
      },
      value);
}

}  // namespace

std::string FormatLogEvent(const LogEvent& event) {
  std::string line = event.message;
  for (const LogField& field : event.fields) {
    fmt::format_to(std::back_inserter(line), " {}={}", field.name,
                   FormatValue(field.value));
  }
  return line;
}

}  // namespace sorrelwood
