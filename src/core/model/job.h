// A job as its owner submitted it.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sorrelwood {

// In ascending order of urgency.
enum class Priority { kLow = 0, kStandard = 1, kHigh = 2, kProduction = 3 };

enum class JobShape {
  kArray,    // a job array: its tasks run to completion
  kService,  // its tasks (replicas) run until the job is cancelled
};

// What a submission asks for. Resources are per task.
struct JobSpec {
  std::string id;
  std::string job_class;  // jobs of one class are similar, see ClassProfile
  std::string team;
  JobShape shape = JobShape::kArray;
  Priority priority = Priority::kStandard;
  uint32_t tasks = 0;
  double cpus = 0, gpus = 0, memory_gb = 0;
  std::string image;
  double image_gb = 0;
  std::vector<std::string> types;  // machine types allowed; empty: any
  std::string zone;                // empty: any
  bool one_zone = false;           // all tasks run in the same zone, whichever
  bool spread = false;             // tasks are spread over zones
  bool spot = false;               // may run on preemptible machines
  double estimate_s = 0;           // the owner's estimate of a task's run time
  double checkpoint_interval_s = 0;  // 0: the job saves no checkpoints
  double save_s = 0;                 // duration of saving a checkpoint
  std::optional<double> deadline_s;  // from the submission to the job's end

  bool IsService() const { return shape == JobShape::kService; }
};

// One task of a job. Ordered by job, then by task number.
struct TaskId {
  std::string job;
  uint32_t task = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const TaskId&) const = default;
};

// How a job ended.
enum class FinalState { kDone, kCancelled };

// The progress of a job, as it is reported to users.
struct JobCounts {
  std::string id;
  uint32_t done = 0;     // tasks
  uint32_t running = 0;  // tasks
};

}  // namespace sorrelwood
