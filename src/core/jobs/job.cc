#include "core/jobs/job.h"

#include <algorithm>

#include "base/constants.h"

namespace sorrelwood {

bool ReplicaState::InRestartBackoff(uint32_t task, double now) const {
  const auto it = restarts.find(task);
  return it != restarts.end() && now < it->second.not_before;
}

bool Job::succeeded() const {
  return !progress.done.empty() || replicas.succeeded;
}

bool Job::failing() const {
  return !succeeded() && failures.machines.size() >= kFailingJobMachines;
}

bool Job::broken() const {
  return !succeeded() && failures.machines.size() >= kBrokenJobMachines;
}

uint32_t Job::RunnableTasks(double now) const {
  uint32_t count = progress.pending.size();
  for (const auto& [task, restarts] : replicas.restarts)
    if (now < restarts.not_before && progress.pending.Contains(task)) --count;
  return failing() ? std::min(count, 1u) : count;
}

}  // namespace sorrelwood
