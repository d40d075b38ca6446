#include "protocol/worker_message_size.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string_view>

namespace sorrelwood::protocol {
namespace {

constexpr size_t kMaxIntegerDigits =
    std::numeric_limits<uint64_t>::digits10 + 1;
// Of a double in its shortest form that reads back as the same value, with
// sign, decimal point and exponent.
constexpr size_t kMaxDecimalBytes = 24;
// A control character is written as \u00XX; an invalid byte as a replacement
// character.
constexpr size_t kMaxBytesPerEscapedByte = 6;

// A command of the longest form, without task name, attempt number and grace
// period.
constexpr std::string_view kLongestCommand =
    R"({"leeway_s":,"part":"/","try":,"verb":"launch"},)";

bool NeedsEscape(unsigned char byte) {
  return byte < ' ' || byte == '"' || byte == '\\' || byte > '~';
}

// Bytes that the job id takes in a JSON string, at most.
size_t MaxEncodedBytes(const std::string& job_id) {
  const bool has_escapes =
      std::any_of(job_id.begin(), job_id.end(), NeedsEscape);
  return has_escapes ? job_id.size() * kMaxBytesPerEscapedByte : job_id.size();
}

}  // namespace

size_t MaxReportedTaskBytes(const std::string& job_id) {
  return kReportedTaskOverheadBytes + job_id.size();
}

size_t MaxCommandBytes(const Command& command) {
  return kLongestCommand.size() + MaxEncodedBytes(command.job) +
         kMaxTaskDigits + kMaxIntegerDigits +
         (command.kind == CommandKind::kStop ? kMaxDecimalBytes : 0);
}

}  // namespace sorrelwood::protocol
