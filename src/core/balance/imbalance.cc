#include "core/balance/imbalance.h"

#include <algorithm>

#include "core/scheduling/eligibility.h"

namespace sorrelwood {
namespace {

// The largest task that the team has on the machine: one task is no crowd.
double LargestTask(const Machine& machine, const std::string& team) {
  double largest = 0;
  for (const auto& [key, attempt] : machine.attempts)
    if (attempt.record->spec.team == team)
      largest = std::max(largest, attempt.cpus);
  return largest;
}

}  // namespace

CrowdedMachine ImbalanceMeter::Excess(Machine* machine) const {
  CrowdedMachine crowded;
  crowded.machine = machine;
  double largest = 0;
  for (const auto& [team, cpus] : machine->team_cpus) {
    const double bound = bounds_->OfTeam(team, *machine);
    if (cpus <= bound) continue;
    const double one_task = LargestTask(*machine, team);
    largest = std::max(largest, one_task);
    const double excess = cpus - std::max(bound, one_task);
    if (excess <= 0) continue;
    crowded.excess_by_team[team] = excess;
    crowded.excess_cpus += excess;
  }
  const double bound = std::max(bounds_->OfAll(*machine), largest);
  crowded.excess_cpus =
      std::max(crowded.excess_cpus, machine->cpus_used - bound);
  return crowded;
}

double ImbalanceMeter::MovableCpus(const CrowdedMachine& crowded,
                                   SpareCpus* spare) {
  double movable = 0;
  for (const auto& [key, attempt] : crowded.machine->attempts) {
    if (movable >= crowded.excess_cpus) break;
    for (auto& [place, cpus] : *spare) {
      const auto& [type, zone, spot] = place;
      if (cpus < attempt.cpus ||
          !AllowsLocation(attempt.record->spec, *type, zone, spot))
        continue;
      cpus -= attempt.cpus;
      movable += attempt.cpus;
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
    if (!LoadBounds::Counts(*machine)) continue;
    used_cpus += machine->cpus_used;
    CrowdedMachine crowded = Excess(machine.get());
    if (crowded.excess_cpus > 0)
      imbalance.crowded.push_back(std::move(crowded));
    // A machine that one team crowds may have room for others.
    const double room = std::min(machine->cpus_free(),
                                 bounds_->OfAll(*machine) - machine->cpus_used);
    if (room > 0) spare[{machine->type, machine->zone, machine->spot}] += room;
  }
  std::stable_sort(imbalance.crowded.begin(), imbalance.crowded.end(),
                   [](const CrowdedMachine& a, const CrowdedMachine& b) {
                     return a.excess_cpus > b.excess_cpus;
                   });
  double movable = 0;
  for (const CrowdedMachine& crowded : imbalance.crowded)
    movable += MovableCpus(crowded, &spare);
  if (used_cpus > 0) imbalance.share = movable / used_cpus;
  return imbalance;
}

}  // namespace sorrelwood
