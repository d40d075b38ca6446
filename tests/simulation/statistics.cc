#include "simulation/statistics.h"

namespace sorrelwood::test {
namespace {

// The increase of a counter, which restarts from 0 in each term of a leader.
uint64_t CounterIncrease(uint64_t now, uint64_t before) {
  return now >= before ? now - before : now;
}

}  // namespace

double SimulationStatistics::MeanImbalance(double from_s,
                                           double until_s) const {
  double sum = 0;
  double count = 0;
  for (const auto& [second, imbalance] : imbalance_by_second) {
    if (second < from_s || second >= until_s) continue;
    sum += imbalance;
    ++count;
  }
  return count == 0 ? 0 : sum / count;
}

void SimulationStatistics::AddRebalancing(
    double now_s, const Rebalancer::Statistics& measured, double margin) {
  moves_begun += CounterIncrease(measured.started, last_rebalancing_.started);
  moves_finished +=
      CounterIncrease(measured.finished, last_rebalancing_.finished);
  last_rebalancing_ = measured;
  imbalance_by_second[static_cast<int>(now_s)] = measured.imbalance;
  if (measured.imbalance > margin) unbalanced_until_s = now_s;
}

}  // namespace sorrelwood::test
