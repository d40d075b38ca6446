#include "core/autoscaling/boot_history.h"

#include <algorithm>

#include "base/constants/autoscaling.h"

namespace sorrelwood {

double EstimateAvailability(const Machine& machine, double now) {
  if (machine.lifecycle.ever_reported) return 1;
  const double boot_times = (now - machine.lifecycle.provisioned_at) /
                            std::max(1.0, machine.type->boot_s);
  return std::clamp((kNoCreditBootTimes - boot_times) /
                        (kNoCreditBootTimes - kFullCreditBootTimes),
                    0.0, 1.0);
}

BootHistory::BootHistory(MachineTable* machines) {
  for (const auto& [name, machine] : machines->all())
    if (machine->lifecycle.first_heartbeat_at > 0)
      provisioned_at_by_type_[machine->type].push_back(
          machine->lifecycle.provisioned_at);
  for (auto& [type, times] : provisioned_at_by_type_)
    std::sort(times.begin(), times.end());
}

bool BootHistory::HasTimedOut(const Machine& machine, double now) const {
  const double age_s = now - machine.lifecycle.provisioned_at;
  const auto older_than = [&](double boot_times) {
    return age_s >
           std::max(kBootTimeoutMinS, machine.type->boot_s * boot_times);
  };
  if (!older_than(kBootTimeoutBootTimes)) return false;
  // Only machines that were provisioned no earlier and are already up show that
  // this machine is at fault. Prevents the release of all booting machines, for
  // which the cloud has already charged, while the whole cloud boots slowly.
  const auto entry = provisioned_at_by_type_.find(machine.type);
  if (entry != provisioned_at_by_type_.end()) {
    const std::vector<double>& times = entry->second;
    const auto first_peer = std::lower_bound(times.begin(), times.end(),
                                             machine.lifecycle.provisioned_at);
    if (static_cast<size_t>(times.end() - first_peer) >= kBootTimeoutPeers)
      return true;
  }
  return older_than(kBootTimeoutMaxBootTimes);
}

}  // namespace sorrelwood
