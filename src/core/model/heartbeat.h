// Messages between workers and the leader: heartbeats with the status of every
// task attempt, and commands in response.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sorrelwood {

enum class TaskState {
  kFetching,  // the image is being fetched
  kRunning,
  kSaving,  // writes a checkpoint, after a stop command with a grace period
  kExited,
};

// Why an attempt ended.
enum class ExitReason {
  kNone,  // it has not ended
  kDone,
  kStopped,  // by a command
  kError,
  // Starts that the worker refused:
  kInsufficientResources,  // the machine has not enough free resources
  kOtherAttemptPresent,    // another attempt of the task is still there
  kUnknownJob,             // the worker does not know the job
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

// Identifies a heartbeat of a machine. Ids compare in the order in which the
// worker sent the heartbeats: a restarted agent has a higher incarnation and
// numbers its heartbeats from the beginning.
struct HeartbeatId {
  uint64_t incarnation = 0, sequence = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const HeartbeatId&) const = default;
};

// A worker's periodic report of all task attempts on its machine.
struct Heartbeat {
  std::string machine, address, type, zone;
  bool spot = false;
  // The incarnation rises when the agent restarts, which loses all its tasks;
  // the sequence number counts the heartbeats of one incarnation.
  uint64_t incarnation = 0, sequence = 0;
  uint64_t fencing_token = 0;  // the highest that the worker has seen
  // Time until the cloud reclaims the machine (s).
  std::optional<double> preemption_notice_s;
  std::vector<TaskStatus> tasks;

  HeartbeatId id() const { return {incarnation, sequence}; }
};

enum class CommandKind {
  kStart,
  kStop,
  kForget,  // removes an attempt that has ended from the heartbeats
};

struct Command {
  CommandKind kind = CommandKind::kStart;
  std::string job;
  uint32_t task = 0;
  uint64_t attempt = 0;
  double grace_s = 0;  // of a stop: time to write a checkpoint; 0: kill at once
};

}  // namespace sorrelwood
