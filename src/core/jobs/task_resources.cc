#include "core/jobs/task_resources.h"

#include "base/constants.h"

namespace sorrelwood {

TaskResources& TaskResources::operator+=(const TaskResources& other) {
  cpus += other.cpus;
  gpus += other.gpus;
  memory_gb += other.memory_gb;
  return *this;
}

TaskResources& TaskResources::operator-=(const TaskResources& other) {
  cpus -= other.cpus;
  gpus -= other.gpus;
  memory_gb -= other.memory_gb;
  return *this;
}

bool TaskResources::FitInto(const TaskResources& free) const {
  return cpus <= free.cpus + kResourceRounding &&
         gpus <= free.gpus + kResourceRounding &&
         memory_gb <= free.memory_gb + kResourceRounding;
}

TaskResources operator+(TaskResources left, const TaskResources& right) {
  return left += right;
}

TaskResources operator-(TaskResources left, const TaskResources& right) {
  return left -= right;
}

TaskResources ResourcesPerTask(const JobSpec& spec) {
  return {spec.cpus, spec.gpus, spec.memory_gb};
}

}  // namespace sorrelwood
