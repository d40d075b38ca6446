#include "log_summary.h"

namespace sorrelwood::test {

void LogSummary::Add(int node, const LogLine& line) {
  switch (line.level) {
    case LogLine::kDebug: ++counts_.debug; break;
    case LogLine::kInfo: ++counts_.info; break;
    case LogLine::kError: ++counts_.error; break;
  }
  const size_t size = line.text.size();
  texts_.Add(&node, sizeof(node));
  texts_.Add(&size, sizeof(size));
  texts_.Add(line.text.data(), size);
}

}  // namespace sorrelwood::test
