#include "core/machines/machine.h"

#include <algorithm>

namespace sorrelwood {
namespace {

// Sums of resources may be off by rounding: smaller differences count as none.
constexpr double kRounding = 1e-6;

}  // namespace

double Machine::TeamCpus(const std::string& team) const {
  for (const auto& [name, cpus] : team_cpus)
    if (name == team) return cpus;
  return 0;
}

void Machine::AddTeamCpus(const std::string& team, double cpus) {
  const auto it =
      std::find_if(team_cpus.begin(), team_cpus.end(),
                   [&](const auto& item) { return item.first == team; });
  if (it == team_cpus.end()) {
    team_cpus.emplace_back(team, cpus);
    return;
  }
  it->second += cpus;
  if (it->second <= kRounding) team_cpus.erase(it);
}

bool Machine::Fits(const JobSpec& spec) const {
  return type && spec.cpus <= cpus_free() + kRounding &&
         spec.gpus <= gpus_free() + kRounding &&
         spec.memory_gb <= memory_free() + kRounding;
}

void Machine::ReserveCapacity(double cpus, double gpus, double memory_gb) {
  ++reservations;
  reserved_cpus += cpus;
  reserved_gpus += gpus;
  reserved_memory += memory_gb;
}

void Machine::ReleaseCapacity(double cpus, double gpus, double memory_gb) {
  --reservations;
  reserved_cpus -= cpus;
  reserved_gpus -= gpus;
  reserved_memory -= memory_gb;
  // Rounding errors are not carried over.
  if (reservations == 0) reserved_cpus = reserved_gpus = reserved_memory = 0;
}

void Machine::AddAttempt(const TaskId& key, TaskAttempt attempt) {
  AddTeamCpus(attempt.record->spec.team, attempt.cpus);
  cpus_used += attempt.cpus;
  gpus_used += attempt.gpus;
  memory_used += attempt.memory_gb;
  lifecycle.idle_since = 0;
  attempts[key] = std::move(attempt);
}

TaskAttempt Machine::RemoveAttempt(std::map<TaskId, TaskAttempt>::iterator it) {
  TaskAttempt attempt = std::move(it->second);
  attempts.erase(it);
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
  // Rounding errors are not carried over.
  if (attempts.empty()) cpus_used = gpus_used = memory_used = 0;
  return attempt;
}

bool Machine::HasImage(const std::string& image) const {
  return image.empty() ||
         std::find(images.begin(), images.end(), image) != images.end();
}

void Machine::TouchImage(const std::string& image) {
  if (image.empty()) return;
  auto it = std::find(images.begin(), images.end(), image);
  if (it != images.end()) images.erase(it);
  images.push_back(image);
}

void Machine::FinishFetch(const std::string& image) {
  fetching.erase(std::remove(fetching.begin(), fetching.end(), image),
                 fetching.end());
}

}  // namespace sorrelwood
