#include "core/jobs/job.h"

#include <algorithm>

#include "base/constants/workers.h"

namespace sorrelwood {

bool ReplicaState::InRestartBackoff(uint32_t task, double now) const {
  const auto restart = restarts.find(task);
  return restart != restarts.end() && now < restart->second.not_before;
}

bool Job::succeeded() const {
  return !progress.done.empty() || replicas.succeeded;
}

bool Job::failing() const {
  return !succeeded() &&
         failures.machines_failed_on.size() >= kFailingJobMachines;
}

bool Job::broken() const {
  return !succeeded() &&
         failures.machines_failed_on.size() >= kBrokenJobMachines;
}

uint32_t Job::CountRunnableTasks(double now) const {
  uint32_t count = progress.pending.size();
  for (const auto& [task, restarts] : replicas.restarts)
    if (now < restarts.not_before && progress.pending.Contains(task)) --count;
  return failing() ? std::min(count, 1u) : count;
}

}  // namespace sorrelwood
