#include "core/machines/machine.h"

#include <algorithm>

namespace sorrelwood {
namespace {

// Sums of resources (cores, devices, GB) that differ by no more than this count
// as equal: they drift by rounding.
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

bool Machine::Fits(const JobSpec& spec) const {
  return type && spec.cpus <= cpus_free() + kSumRounding &&
         spec.gpus <= gpus_free() + kSumRounding &&
         spec.memory_gb <= memory_free() + kSumRounding;
}

void Machine::ReserveCapacity(double cpus, double gpus, double memory_gb) {
  ++reservation_count;
  reserved_cpus += cpus;
  reserved_gpus += gpus;
  reserved_memory += memory_gb;
}

void Machine::ReleaseCapacity(double cpus, double gpus, double memory_gb) {
  --reservation_count;
  reserved_cpus -= cpus;
  reserved_gpus -= gpus;
  reserved_memory -= memory_gb;
  // Prevents rounding errors from accumulating.
  if (reservation_count == 0)
    reserved_cpus = reserved_gpus = reserved_memory = 0;
}

void Machine::AddAttempt(const TaskId& task, TaskAttempt attempt) {
  AddTeamCpus(attempt.record->spec.team, attempt.cpus);
  cpus_used += attempt.cpus;
  gpus_used += attempt.gpus;
  memory_used += attempt.memory_gb;
  lifecycle.idle_since = 0;
  attempts[task] = std::move(attempt);
}

TaskAttempt Machine::RemoveAttempt(
    std::map<TaskId, TaskAttempt>::iterator entry) {
  TaskAttempt attempt = std::move(entry->second);
  attempts.erase(entry);
  AddTeamCpus(attempt.record->spec.team, -attempt.cpus);
  const std::string& image = attempt.record->spec.image;
  const auto waits_for_image = [&image](const auto& item) {
    return item.second.running_since == 0 &&
           item.second.record->spec.image == image;
  };
  if (attempt.running_since == 0 && !fetching.empty() &&
      std::none_of(attempts.begin(), attempts.end(), waits_for_image))
    FinishFetch(image);
  cpus_used -= attempt.cpus;
  gpus_used -= attempt.gpus;
  memory_used -= attempt.memory_gb;
  // Prevents rounding errors from accumulating.
  if (attempts.empty()) cpus_used = gpus_used = memory_used = 0;
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
