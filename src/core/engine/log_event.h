// Log events: a message with named fields. The core creates them; the writer
// filters them by level and formats them.
#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace sorrelwood {

enum class LogLevel { kDebug, kInfo, kError };

// One named value of a log event.
struct LogField {
  using Value = std::variant<int64_t, uint64_t, double, std::string>;

  LogField(std::string field_name, std::string text)
      : name(std::move(field_name)), value(std::move(text)) {}
  LogField(std::string field_name, double number)
      : name(std::move(field_name)), value(number) {}
  template <std::signed_integral Integer>
  LogField(std::string field_name, Integer number)
      : name(std::move(field_name)), value(static_cast<int64_t>(number)) {}
  template <std::unsigned_integral Integer>
  LogField(std::string field_name, Integer number)
      : name(std::move(field_name)), value(static_cast<uint64_t>(number)) {}

  std::string name;
  Value value;
};

using LogFields = std::vector<LogField>;

struct LogEvent {
  LogLevel level = LogLevel::kInfo;
  std::string message;
  LogFields fields;
};

// Returns one line: the message, then `name=value` for each field. Numbers of
// type double have three decimal places; text that is empty or has spaces is
// quoted.
std::string FormatLogEvent(const LogEvent& event);

}  // namespace sorrelwood
