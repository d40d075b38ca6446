#include "simulation/log_summary.h"

#include <string>

namespace sorrelwood::test {

void LogSummary::Add(int node, const LogEvent& event) {
  switch (event.level) {
    case LogLevel::kDebug: ++counts_.debug; break;
    case LogLevel::kInfo: ++counts_.info; break;
    case LogLevel::kError: ++counts_.error; break;
  }
  const std::string text = FormatLogEvent(event);
  const size_t size = text.size();
  texts_.Add(&node, sizeof(node));
  texts_.Add(&size, sizeof(size));
  texts_.Add(text.data(), size);
}

}  // namespace sorrelwood::test
