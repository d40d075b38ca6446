// Log events: what happened, with named fields. The core makes them; they are
// turned into text and filtered where they are written.
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

// One line: the message, then `name=value` for each field. Numbers with a
// fraction are given to three places; text with blanks is quoted.
std::string FormatLogEvent(const LogEvent& event);

}  // namespace sorrelwood
