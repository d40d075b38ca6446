// Reports as a worker writes them, to measure their size.
#pragma once

#include <string>

#include "core/model/heartbeat.h"

namespace sorrelwood::test {

// Returns the report as JSON, with a space after each separator.
std::string EncodeReport(const Heartbeat& heartbeat);

}  // namespace sorrelwood::test
