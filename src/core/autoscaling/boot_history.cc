#include "core/autoscaling/boot_history.h"

#include <algorithm>

#include "base/constants.h"

namespace sorrelwood {

double ExpectedAvailability(const Machine& machine, double now) {
  if (machine.lifecycle.ever_reported) return 1;
  const double boot_times =
      (now - machine.lifecycle.rented_at) / std::max(1.0, machine.type->boot_s);
  return std::clamp((kNoCreditBootTimes - boot_times) /
                        (kNoCreditBootTimes - kFullCreditBootTimes),
                    0.0, 1.0);
}

BootHistory::BootHistory(MachineTable* machines) {
  for (const auto& [name, machine] : machines->all())
    if (machine->lifecycle.came_up_at > 0)
      provisioned_at_[machine->type].push_back(machine->lifecycle.rented_at);
  for (auto& [type, times] : provisioned_at_)
    std::sort(times.begin(), times.end());
}

bool BootHistory::HasTimedOut(const Machine& machine, double now) const {
  const double age_s = now - machine.lifecycle.rented_at;
  const auto older_than = [&](double boot_times) {
    return age_s >
           std::max(kBootTimeoutMinS, machine.type->boot_s * boot_times);
  };
  if (!older_than(kBootTimeoutBootTimes)) return false;
  // Only machines provisioned no earlier that are up already show that this one
  // is at fault. Prevents releasing, while the whole cloud boots slowly,
  // everything that was paid for.
  const auto of_type = provisioned_at_.find(machine.type);
  if (of_type != provisioned_at_.end()) {
    const std::vector<double>& times = of_type->second;
    const auto first_peer = std::lower_bound(times.begin(), times.end(),
                                             machine.lifecycle.rented_at);
    if (static_cast<size_t>(times.end() - first_peer) >= kBootTimeoutPeers)
      return true;
  }
  return older_than(kBootTimeoutMaxBootTimes);
}

}  // namespace sorrelwood
