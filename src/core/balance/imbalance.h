// The measure of load spread (docs/load-spread.md): the share of all cores in
// use that lies above the machines' bounds although it could be elsewhere.
#pragma once

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "core/balance/load_bounds.h"
#include "core/machines/machine_table.h"

namespace sorrelwood {

// A machine beyond its bounds, and by how many cores.
struct CrowdedMachine {
  Machine* machine = nullptr;
  double excess_cpus = 0;                        // in all, by whichever bound
  std::map<std::string, double> excess_by_team;  // beyond the team's bound
};

struct Imbalance {
  double share = 0;                     // of the cores in use; 0 to 1
  std::vector<CrowdedMachine> crowded;  // the worst first
};

// Costs a look at all machines and at the tasks of those beyond their bounds.
class ImbalanceMeter {
 public:
  explicit ImbalanceMeter(const LoadBounds* bounds) : bounds_(bounds) {}
  Imbalance Measure(MachineTable* machines) const;

 private:
  // Cores that machines of one type, zone and kind could take within their
  // bounds.
  using Place = std::tuple<const MachineType*, std::string, bool>;
  using SpareCpus = std::map<Place, double>;

  CrowdedMachine Excess(Machine* machine) const;
  // The part of the excess for which there is spare room that the tasks are
  // allowed to use; takes it.
  static double MovableCpus(const CrowdedMachine& crowded, SpareCpus* spare);

  const LoadBounds* bounds_;
};

}  // namespace sorrelwood
