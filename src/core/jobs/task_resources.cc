#include "core/jobs/task_resources.h"

#include <algorithm>
#include <cmath>

#include "base/constants/placement.h"
#include "protocol/worker_message_size.h"

namespace sorrelwood {
namespace {

// Report bytes that tasks of less than a core leave free: an entry for each
// whole core that stays free beside them. Without this, small tasks could fill
// the report and keep other tasks off the cores. At most half of the report, so
// that small tasks start on any machine.
double ReportBytesKeptForWholeCores(double free_cpus) {
  constexpr double kMaxKeptBytes = protocol::kReportedTasksCapacityBytes / 2.0;
  const double entries = std::floor(std::max(0.0, free_cpus));
  return std::min(entries * protocol::kMaxReportedTaskBytes, kMaxKeptBytes);
}

}  // namespace

TaskResources& TaskResources::operator+=(const TaskResources& other) {
  cpus += other.cpus;
  gpus += other.gpus;
  memory_gb += other.memory_gb;
  report_bytes += other.report_bytes;
  return *this;
}

TaskResources& TaskResources::operator-=(const TaskResources& other) {
  cpus -= other.cpus;
  gpus -= other.gpus;
  memory_gb -= other.memory_gb;
  report_bytes -= other.report_bytes;
  return *this;
}

bool TaskResources::FitInto(const TaskResources& free) const {
  return cpus <= free.cpus + kResourceRounding &&
         gpus <= free.gpus + kResourceRounding &&
         memory_gb <= free.memory_gb + kResourceRounding &&
         report_bytes <=
             free.report_bytes -
                 (cpus < 1 ? ReportBytesKeptForWholeCores(free.cpus - cpus)
                           : 0);
}

TaskResources operator+(TaskResources left, const TaskResources& right) {
  return left += right;
}

TaskResources operator-(TaskResources left, const TaskResources& right) {
  return left -= right;
}

TaskResources ResourcesPerTask(const JobSpec& spec) {
  return {spec.cpus, spec.gpus, spec.memory_gb,
          static_cast<double>(protocol::MaxReportedTaskBytes(spec.id))};
}

TaskResources ResourcesOf(const MachineType& type) {
  return {type.cpus, type.gpus, type.memory_gb,
          static_cast<double>(protocol::kReportedTasksCapacityBytes)};
}

}  // namespace sorrelwood
