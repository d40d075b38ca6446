#include "core/machines/machine.h"

#include <algorithm>

namespace sorrelwood {
namespace {

// Sums of cores that differ by no more than this count as equal: they drift by
// rounding.
constexpr double kSumRounding = 1e-6;

}  // namespace

double Machine::TeamCpus(const std::string& team) const {
  for (const auto& [name, cpus] : team_cpus)
    if (name == team) return cpus;
  return 0;
}

void Machine::AddTeamCpus(const std::string& team, double cpus) {
  const auto entry =
      std::find_if(team_cpus.begin(), team_cpus.end(),
                   [&](const auto& item) { return item.first == team; });
  if (entry == team_cpus.end()) {
    team_cpus.emplace_back(team, cpus);
    return;
  }
  entry->second += cpus;
  if (entry->second <= kSumRounding) team_cpus.erase(entry);
}

TaskResources Machine::Free() const {
  if (!type) return {};
  TaskResources free = ResourcesOf(*type) - used - reserved;
  free.report_bytes -= untracked_report_bytes;
  return free;
}

bool Machine::Fits(const JobSpec& spec) const {
  return type && ResourcesPerTask(spec).FitInto(Free());
}

void Machine::ReserveCapacity(const TaskResources& task) {
  ++reservation_count;
  reserved += task;
}

void Machine::ReleaseCapacity(const TaskResources& task) {
  --reservation_count;
  reserved -= task;
  // Prevents rounding errors from accumulating.
  if (reservation_count == 0) reserved = {};
}

void Machine::AddAttempt(const TaskId& task, TaskAttempt attempt) {
  AddTeamCpus(attempt.record->spec.team, attempt.resources.cpus);
  used += attempt.resources;
  lifecycle.idle_since = 0;
  attempts[task] = std::move(attempt);
}

TaskAttempt Machine::RemoveAttempt(
    std::map<TaskId, TaskAttempt>::iterator entry) {
  TaskAttempt attempt = std::move(entry->second);
  attempts.erase(entry);
  AddTeamCpus(attempt.record->spec.team, -attempt.resources.cpus);
  const std::string& image = attempt.record->spec.image;
  const auto waits_for_image = [&image](const auto& item) {
    return item.second.running_since == 0 &&
           item.second.record->spec.image == image;
  };
  if (attempt.running_since == 0 && !fetching.empty() &&
      std::none_of(attempts.begin(), attempts.end(), waits_for_image))
    FinishFetch(image);
  used -= attempt.resources;
  // Prevents rounding errors from accumulating.
  if (attempts.empty()) used = {};
  return attempt;
}

bool Machine::HasImage(const std::string& image) const {
  return image.empty() ||
         std::find(images.begin(), images.end(), image) != images.end();
}

void Machine::TouchImage(const std::string& image) {
  if (image.empty()) return;
  const auto cached = std::find(images.begin(), images.end(), image);
  if (cached != images.end()) images.erase(cached);
  images.push_back(image);
}

void Machine::FinishFetch(const std::string& image) {
  fetching.erase(std::remove(fetching.begin(), fetching.end(), image),
                 fetching.end());
}

}  // namespace sorrelwood
