// The terms of the core: jobs, tasks, attempts, machines, incarnations, tokens.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "core/model/spread_settings.h"

namespace sorrelwood {

enum class Priority { kLow = 0, kStandard = 1, kHigh = 2, kProduction = 3 };

// An array's tasks run to completion; a service's until the job is cancelled.
enum class Shape { kArray, kService };

struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  Shape shape = Shape::kArray;
  Priority priority = Priority::kStandard;
  uint32_t tasks = 0;
  double cpus = 0, gpus = 0, memory_gb = 0;
  std::string image;
  double image_gb = 0;
  std::vector<std::string> types;  // empty: any
  std::string zone;                // empty: any
  bool one_zone = false;
  bool spread = false;
  bool spot = false;
  double estimate_s = 0;
  double checkpoint_s = 0;
  double save_s = 0;
  std::optional<double> deadline_s;

  bool IsService() const { return shape == Shape::kService; }
};

struct MachineType {
  std::string name;
  double cpus = 0, gpus = 0, memory_gb = 0;
  double cache_gb = 0, fetch_gb_per_s = 0;
  double price = 0, spot_price = 0;
  double boot_s = 0;
  std::vector<std::string> zones;
};

// A team without a limit may use all that is unused.
inline constexpr double kNoLimit = std::numeric_limits<double>::infinity();

struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
};

struct Objective {
  std::string kind;
  std::string job_class;
  double within_s = 0;
  double times = 1;  // of a deadline
};

struct Peer {
  std::string name, zone, address;
};

// What the state service takes at most.
struct StateLimits {
  double write_rps = 60;  // changes a second
  double value_kb = 8;    // KiB of one value
  int txn_ops = 16;       // changes in one transaction
};

// What the platform's settings file says, in the core's terms.
struct ClusterSettings {
  std::string node;
  std::string zone;
  std::string listen;
  std::string peer_listen;
  std::vector<Peer> peers;
  std::string cloud_address, state_address;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  double report_s = 2, lease_s = 14, cancel_s = 40;
  double state_rps = 150, state_write_rps = 60;
  double state_value_kb = 8;
  int state_txn_ops = 16;
  std::optional<StateLimits> state_next;  // coming without notice
  double cloud_rps = 4, list_lag_s = 5;
  int sockets = 1000;
  double memory_mib = 0;  // 0: not said
  // What could not be read and can be done without, each with its reason.
  std::vector<std::string> ignored;
};

// The operators' own settings (operator.proto), checked.
struct PolicySettings {
  double speculation_s = 900;   // t
  double wait_limit_s = 10800;  // b
  double hold_s = 10;           // idle time before a rented machine goes
  double drain_s = 30;          // backlog that may wait for running room
  double dear_drain_s = 300;    // the same before dear machines are rented
  double base_share = 0.1;      // base at the start, of all guarantees
  double base_memory_s = 30;    // how slowly the base follows the load
  bool use_spot = true;
  double refit_s = 180;
  int tree_depth = 4;
  int tree_leaf = 8;
  int tree_count = 5;
  int tree_samples = 2000;
  SpreadSettings spread;
};

enum class TaskState { kFetching, kRunning, kSaving, kExited };
enum class ExitReason {
  kNone,
  kDone,
  kStopped,
  kError,
  kNoRoom,
  kBusy,
  kUnknown
};

struct TaskStatus {
  std::string job;
  uint32_t task = 0;
  uint64_t attempt = 0;
  TaskState state = TaskState::kRunning;
  ExitReason reason = ExitReason::kNone;
  bool saved = false;
};

struct Heartbeat {
  std::string machine, address, type, zone;
  bool spot = false;
  uint64_t incarnation = 0, sequence = 0, fencing_token = 0;
  std::optional<double> preemption_notice_s;
  std::vector<TaskStatus> tasks;
};

enum class CommandKind { kStart, kStop, kForget };
struct Command {
  CommandKind kind = CommandKind::kStart;
  std::string job;
  uint32_t task = 0;
  uint64_t attempt = 0;
  double grace_s = 0;
};

enum class MachineStatus { kBooting, kRunning, kFailed };
struct ListedMachine {
  std::string name, address, type, zone;
  bool spot = false;
  MachineStatus status = MachineStatus::kBooting;
  double age_s = 0;
};

enum class FinalState { kDone, kCancelled };

// Records in the state service.
struct LiveJob {
  JobSpec spec;
  double submitted_wall_s = 0;
};
struct LeaderRecord {
  std::string node;
  uint64_t term = 0;
};
struct RentRecord {
  std::string name, type, zone;
  bool spot = false;
  int count = 0;
  bool answered = false;
  std::vector<std::string> machines;
};
struct MachineRecord {
  std::string name, type, zone, address;
  bool spot = false;
};

// Which tasks of a job are done, from `first_task` on; not named where the key
// tells it.
struct CompletionRecord {
  std::optional<uint32_t> first_task;
  std::string bits_hex;
};

struct JobCounts {
  std::string id;
  uint32_t done = 0, running = 0;
};

// What the controllers tell each other once a second.
struct PeerStatus {
  std::string node;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  uint64_t term = 0;  // highest term known
  bool leader = false;
  uint32_t served_ago_ms = 0;   // since the state service last served it
  std::vector<JobCounts> jobs;  // only from the leader
};

}  // namespace sorrelwood
