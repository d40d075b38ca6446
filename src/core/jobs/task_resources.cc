#include "core/jobs/task_resources.h"

#include "base/constants.h"
#include "protocol/worker_message_size.h"

namespace sorrelwood {

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
         report_bytes <= free.report_bytes;
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
