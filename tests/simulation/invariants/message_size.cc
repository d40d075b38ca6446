#include "protocol/worker_codec.h"
#include "simulation/invariants/invariants.h"
#include "simulation/simulated_cluster.h"
#include "simulation/worker_report.h"

namespace sorrelwood::test {
namespace {

// Bounds of the protocol.
constexpr size_t kMaxLineBytes = size_t{64} * 1024;
constexpr size_t kMaxReportBytes = size_t{64} * 1024;
// A message with fewer tasks is far below the bounds.
constexpr size_t kMinTasksToMeasure = 150;

bool IsWithin(SimulatedCluster& cluster, const std::string& kind, size_t bytes,
              size_t max_bytes) {
  if (bytes <= max_bytes) return true;
  cluster.ReportViolation("message size: " + kind + " has " +
                          std::to_string(bytes) + " bytes");
  return false;
}

}  // namespace

bool CheckReportSize(SimulatedCluster& cluster, const Heartbeat& report) {
  return report.tasks.size() < kMinTasksToMeasure ||
         IsWithin(cluster, "a report of " + report.machine,
                  EncodeReport(report).size(), kMaxReportBytes);
}

bool CheckResponseSize(SimulatedCluster& cluster,
                       const HeartbeatResponse& response) {
  return response.commands.size() < kMinTasksToMeasure ||
         IsWithin(cluster, "a response to a heartbeat",
                  protocol::EncodeHeartbeatResponse(response).size(),
                  kMaxLineBytes);
}

bool CheckPushSize(SimulatedCluster& cluster, const PushedCommands& push) {
  return push.commands.size() < kMinTasksToMeasure ||
         IsWithin(cluster, "a push to " + push.machine,
                  protocol::EncodePushedCommands(push).size(), kMaxLineBytes);
}

}  // namespace sorrelwood::test
