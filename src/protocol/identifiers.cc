#include "protocol/identifiers.h"

#include <cctype>
#include <string_view>

#include "base/constants/user_requests.h"

namespace sorrelwood::protocol {
namespace {

constexpr std::string_view kJobIdPrefix = "job-";

}  // namespace

bool IsValidJobId(const std::string& id) {
  if (id.size() <= kJobIdPrefix.size() || id.size() > kMaxIdBytes ||
      id.compare(0, kJobIdPrefix.size(), kJobIdPrefix) != 0)
    return false;
  for (size_t i = kJobIdPrefix.size(); i < id.size(); ++i)
    if (!std::isalnum(static_cast<unsigned char>(id[i])) && id[i] != '-')
      return false;
  return true;
}

std::string FormatTaskName(const std::string& job, uint32_t task) {
  return job + "/" + std::to_string(task);
}

std::optional<TaskId> ParseTaskName(const std::string& name) {
  const size_t slash = name.rfind('/');
  if (slash == std::string::npos || slash == 0) return std::nullopt;
  const std::string digits = name.substr(slash + 1);
  if (digits.empty() || digits.size() > kMaxTaskDigits) return std::nullopt;
  uint32_t number = 0;
  for (const char digit : digits) {
    if (digit < '0' || digit > '9') return std::nullopt;
    number = number * 10 + static_cast<uint32_t>(digit - '0');
  }
  return TaskId{name.substr(0, slash), number};
}

}  // namespace sorrelwood::protocol
