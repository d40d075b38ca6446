// What workers and the leader tell each other: heartbeats with the status of
// every task attempt, and commands in return.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sorrelwood {

enum class TaskState {
  kFetching,  // the image is on its way
  kRunning,
  kSaving,  // writes a checkpoint, after a stop with a grace period
  kExited,
};

// Why an attempt ended.
enum class ExitReason {
  kNone,  // it has not
  kDone,
  kStopped,  // by a command
  kError,
  kNoRoom,   // refused: the machine's resources do not suffice
  kBusy,     // refused: another attempt of the task is still there
  kUnknown,  // refused: the worker knows of no such job
};

// One task attempt, as its worker reports it.
struct TaskStatus {
  std::string job;
  uint32_t task = 0;
  uint64_t attempt = 0;
  TaskState state = TaskState::kRunning;
  ExitReason reason = ExitReason::kNone;
  bool saved = false;  // a checkpoint was written
};

// Identifies one heartbeat of a machine. Ordered as the worker sent them: an
// agent that starts anew has a higher incarnation and counts from the start.
struct HeartbeatId {
  uint64_t incarnation = 0, sequence = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): wrong report of clang-tidy 14.
  auto operator<=>(const HeartbeatId&) const = default;
};

// A worker's periodic report: everything that is on the machine.
struct Heartbeat {
  std::string machine, address, type, zone;
  bool spot = false;
  // Raised when the agent starts anew and has forgotten all its tasks; the
  // sequence number counts the heartbeats of one incarnation.
  uint64_t incarnation = 0, sequence = 0;
  uint64_t fencing_token = 0;  // the highest that the worker has seen
  // The cloud takes the machine back after so long (s).
  std::optional<double> preemption_notice_s;
  std::vector<TaskStatus> tasks;

  HeartbeatId id() const { return {incarnation, sequence}; }
};

enum class CommandKind {
  kStart,
  kStop,
  kForget,  // drops an attempt that has ended from the heartbeats
};

struct Command {
  CommandKind kind = CommandKind::kStart;
  std::string job;
  uint32_t task = 0;
  uint64_t attempt = 0;
  double grace_s = 0;  // of a stop: time to write a checkpoint
};

}  // namespace sorrelwood
