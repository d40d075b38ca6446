#include "simulation/worker_report.h"

#include "protocol/identifiers.h"

namespace sorrelwood::test {
namespace {

const char* NameOf(TaskState state) {
  switch (state) {
    case TaskState::kFetching: return "fetching";
    case TaskState::kRunning: return "running";
    case TaskState::kSaving: return "flushing";
    case TaskState::kExited: return "ended";
  }
  return "";
}

const char* NameOf(ExitReason reason) {
  switch (reason) {
    case ExitReason::kNone: return "";
    case ExitReason::kDone: return "done";
    case ExitReason::kStopped: return "halted";
    case ExitReason::kError: return "error";
    case ExitReason::kInsufficientResources: return "full";
    case ExitReason::kOtherAttemptPresent: return "in_use";
    case ExitReason::kUnknownJob: return "no_such";
  }
  return "";
}

std::string EncodeTask(const TaskStatus& task) {
  std::string text = R"({"part": ")" +
                     protocol::FormatTaskName(task.job, task.task) +
                     R"(", "try": )" + std::to_string(task.attempt) +
                     R"(, "status": ")" + NameOf(task.state) + "\"";
  if (task.state == TaskState::kExited)
    text += std::string(R"(, "cause": ")") + NameOf(task.reason) +
            R"(", "saved": )" + (task.saved ? "true" : "false");
  return text + "}";
}

}  // namespace

std::string EncodeReport(const Heartbeat& heartbeat) {
  std::string tasks;
  for (const TaskStatus& task : heartbeat.tasks) {
    if (!tasks.empty()) tasks += ", ";
    tasks += EncodeTask(task);
  }
  return R"({"perch": ")" + heartbeat.machine + R"(", "endpoint": ")" +
         heartbeat.address + R"(", "build": ")" + heartbeat.type +
         R"(", "room": ")" + heartbeat.zone + R"(", "loaners": )" +
         (heartbeat.spot ? "true" : "false") + R"(, "shift": )" +
         std::to_string(heartbeat.incarnation) + R"(, "tick": )" +
         std::to_string(heartbeat.sequence) + R"(, "baton": )" +
         std::to_string(heartbeat.fencing_token) +
         R"(, "warning_s": null, "parts": [)" + tasks + "]}";
}

}  // namespace sorrelwood::test
