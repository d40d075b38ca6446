// Describes why a text from outside the process could not be parsed.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace sorrelwood {

struct ParseError {
  std::string field;   // empty for the text as a whole
  std::string reason;  // "is missing", "must be a number", ...

  // A single line for users and logs: "<field> <reason>".
  std::string Message() const {
    return field.empty() ? reason : field + " " + reason;
  }
};

template <typename Value>
using ParseResult = tl::expected<Value, ParseError>;

inline tl::unexpected<ParseError> MakeParseError(std::string field,
                                                 std::string reason) {
  return tl::unexpected(ParseError{std::move(field), std::move(reason)});
}

}  // namespace sorrelwood
