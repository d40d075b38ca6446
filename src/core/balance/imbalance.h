// The measure of imbalance (docs/load-spread.md): the fraction of all cores in
// use that lies above the machines' load bounds although other machines could
// take it.
#pragma once

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "core/balance/load_bounds.h"
#include "core/machines/machine_table.h"

namespace sorrelwood {

// A machine whose load exceeds a bound, and by how many cores.
struct CrowdedMachine {
  Machine* machine = nullptr;
  // The excess over the total bound or the sum of `excess_by_team`, whichever
  // is larger.
  double excess_cpus = 0;
  std::map<std::string, double> excess_by_team;  // over the team's bound, cores
};

struct Imbalance {
  double share = 0;                     // of the cores in use; 0 to 1
  std::vector<CrowdedMachine> crowded;  // by descending excess
};

// Measuring iterates over all machines and the tasks of the crowded ones.
class ImbalanceMeter {
 public:
  explicit ImbalanceMeter(const LoadBounds* bounds) : bounds_(bounds) {}
  Imbalance Measure(MachineTable* machines) const;

 private:
  // Machines of the same type, zone and spot flag.
  using MachineGroup = std::tuple<const MachineType*, std::string, bool>;
  // Cores that the machines of a group could take within their bounds.
  using SpareCpus = std::map<MachineGroup, double>;

  CrowdedMachine MeasureExcess(Machine* machine) const;
  // Returns the part of the excess that fits into spare capacity where its
  // tasks are allowed to run, and subtracts it from `spare`.
  static double TakeMovableCpus(const CrowdedMachine& crowded,
                                SpareCpus* spare);

  const LoadBounds* bounds_;
};

}  // namespace sorrelwood
