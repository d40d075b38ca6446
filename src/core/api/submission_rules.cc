#include "core/api/submission_rules.h"

#include <algorithm>

namespace sorrelwood {
namespace {

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

bool SubmissionRules::TaskFitsType(const JobSpec& spec,
                                   const MachineType& type) {
  if (spec.cpus > type.cpus || spec.gpus > type.gpus ||
      spec.memory_gb > type.memory_gb)
    return false;
  if (!spec.types.empty() && !Contains(spec.types, type.name)) return false;
  return spec.zone.empty() || Contains(type.zones, spec.zone);
}

std::optional<std::string> SubmissionRules::FindRejectionReason(
    const JobSpec& spec) const {
  const auto team = std::find_if(
      settings_->teams.begin(), settings_->teams.end(),
      [&](const Team& candidate) { return candidate.name == spec.team; });
  if (team == settings_->teams.end()) return "unknown team " + spec.team;
  // The tasks of an array may run one at a time; other jobs run all their tasks
  // concurrently.
  const double min_concurrent_tasks =
      spec.shape == JobShape::kArray ? 1 : spec.tasks;
  if (spec.cpus * min_concurrent_tasks > team->cpus_max ||
      spec.gpus * min_concurrent_tasks > team->gpus_max)
    return "the job needs more than the limit of team " + spec.team;
  if (std::none_of(types_.begin(), types_.end(), [&](const MachineType& type) {
        return TaskFitsType(spec, type);
      }))
    return "a task fits no machine type that the job allows";
  return std::nullopt;
}

}  // namespace sorrelwood
