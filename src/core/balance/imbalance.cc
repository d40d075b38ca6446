#include "core/balance/imbalance.h"

#include <algorithm>

#include "core/scheduling/eligibility.h"

namespace sorrelwood {
namespace {

// Returns the cores of the team's largest task on the machine. A single task
// never makes a machine crowded.
double LargestTask(const Machine& machine, const std::string& team) {
  double largest = 0;
  for (const auto& [task_id, attempt] : machine.attempts)
    if (attempt.record->spec.team == team)
      largest = std::max(largest, attempt.resources.cpus);
  return largest;
}

}  // namespace

CrowdedMachine ImbalanceMeter::MeasureExcess(Machine* machine) const {
  CrowdedMachine crowded;
  crowded.machine = machine;
  double largest = 0;
  for (const auto& [team, cpus] : machine->team_cpus) {
    const double team_bound = bounds_->TeamBound(team, *machine);
    if (cpus <= team_bound) continue;
    const double largest_of_team = LargestTask(*machine, team);
    largest = std::max(largest, largest_of_team);
    const double excess = cpus - std::max(team_bound, largest_of_team);
    if (excess <= 0) continue;
    crowded.excess_by_team[team] = excess;
    crowded.excess_cpus += excess;
  }
  const double total_bound = std::max(bounds_->TotalBound(*machine), largest);
  crowded.excess_cpus =
      std::max(crowded.excess_cpus, machine->used.cpus - total_bound);
  return crowded;
}

double ImbalanceMeter::TakeMovableCpus(const CrowdedMachine& crowded,
                                       SpareCpus* spare) {
  double movable = 0;
  for (const auto& [task_id, attempt] : crowded.machine->attempts) {
    if (movable >= crowded.excess_cpus) break;
    for (auto& [group, cpus] : *spare) {
      const auto& [type, zone, spot] = group;
      if (cpus < attempt.resources.cpus ||
          !AllowsLocation(attempt.record->spec, *type, zone, spot))
        continue;
      cpus -= attempt.resources.cpus;
      movable += attempt.resources.cpus;
      break;
    }
  }
  return std::min(movable, crowded.excess_cpus);
}

Imbalance ImbalanceMeter::Measure(MachineTable* machines) const {
  Imbalance imbalance;
  SpareCpus spare;
  double used_cpus = 0;
  for (auto& [name, machine] : machines->all()) {
    if (!LoadBounds::IsIncluded(*machine)) continue;
    used_cpus += machine->used.cpus;
    CrowdedMachine crowded = MeasureExcess(machine.get());
    if (crowded.excess_cpus > 0)
      imbalance.crowded.push_back(std::move(crowded));
    // A machine over one team's bound may still have capacity for other teams.
    const double spare_cpus =
        std::min(machine->cpus_free(),
                 bounds_->TotalBound(*machine) - machine->used.cpus);
    if (spare_cpus > 0)
      spare[{machine->type, machine->zone, machine->spot}] += spare_cpus;
  }
  std::stable_sort(imbalance.crowded.begin(), imbalance.crowded.end(),
                   [](const CrowdedMachine& a, const CrowdedMachine& b) {
                     return a.excess_cpus > b.excess_cpus;
                   });
  double movable = 0;
  for (const CrowdedMachine& crowded : imbalance.crowded)
    movable += TakeMovableCpus(crowded, &spare);
  if (used_cpus > 0) imbalance.share = movable / used_cpus;
  return imbalance;
}

}  // namespace sorrelwood
