#include "core/autoscaling/inventory_reconciler.h"

#include <algorithm>

#include "base/constants/cloud.h"
#include "base/constants/workers.h"
#include "core/autoscaling/machine_registration.h"

namespace sorrelwood {

void InventoryReconciler::Clear() {
  ++generation_;
  read_in_flight_ = known_ = false;
  page_count_ = 1;
  next_read_at_ = 0;
}

double InventoryReconciler::IntervalS() const {
  return std::max(kInventoryIntervalS,
                  static_cast<double>(page_count_) /
                      (quota_->CallsPerS() * kInventoryCallShare));
}

void InventoryReconciler::Tick() {
  if (!read_in_flight_ && context_->now >= next_read_at_ &&
      quota_->TryAcquire())
    Read();
}

void InventoryReconciler::Read() {
  read_in_flight_ = true;
  next_read_at_ = context_->now + IntervalS();
  const double page_pause_s = 1 / quota_->CallsPerS();
  context_->ListMachines(page_pause_s,
                         [this, read_started_at = context_->now,
                          generation = generation_](const CloudResult& result) {
                           if (generation != generation_) return;
                           read_in_flight_ = false;
                           // Each page was a call; the first one has been
                           // charged already.
                           const size_t further_pages =
                               result.listed.size() / kInventoryPageMachines;
                           quota_->Charge(static_cast<double>(further_pages));
                           page_count_ = further_pages + 1;
                           if (result.outcome == Outcome::kOk)
                             Reconcile(result.listed, read_started_at);
                         });
}

void InventoryReconciler::Reconcile(const std::vector<ListedMachine>& inventory,
                                    double read_started_at) {
  known_ = true;
  std::set<std::string> listed;
  for (const ListedMachine& item : inventory) {
    listed.insert(item.name);
    AddListed(item);
  }
  ReleaseUnlisted(listed, read_started_at);
}

void InventoryReconciler::AddListed(const ListedMachine& listed) {
  if (machines_->WasRemoved(listed.name)) return;  // the inventory lags
  const double provisioned_at = context_->now - listed.age_s;
  Machine* machine = machines_->Find(listed.name);
  // An unknown machine comes from a provisioning request that was carried out
  // late: it is used like any other.
  if (!machine || !machine->lifecycle.identity_confirmed)
    machine = RegisterMachine(
        machines_, *catalog_,
        {listed.name, {listed.type, listed.zone, listed.spot}, provisioned_at});
  // Only the inventory shows when an earlier leader provisioned a machine.
  if (!machine->lifecycle.ever_reported)
    machine->lifecycle.provisioned_at =
        std::min(machine->lifecycle.provisioned_at, provisioned_at);
  machine->lifecycle.listed = machine->lifecycle.identity_confirmed = true;
  machine->lifecycle.unlisted_since = 0;
  if (machine->address.empty()) machine->address = listed.address;
  if (listed.status == MachineStatus::kFailed)
    releases_->Release(machine, ReleaseReason::kFailedInCloud);
}

// Machines that are not in the inventory are released by a call like any other:
// only the cloud's answer to it proves that a machine no longer exists, an
// inventory alone does not.
void InventoryReconciler::ReleaseUnlisted(const std::set<std::string>& listed,
                                          double read_started_at) {
  for (auto& [name, machine] : machines_->all()) {
    MachineLifecycle& lifecycle = machine->lifecycle;
    if (listed.count(name) || lifecycle.terminating) continue;
    if (IsMissingAtTakeover(*machine, read_started_at)) {
      releases_->Release(machine.get(), ReleaseReason::kMissingAtTakeover);
      continue;
    }
    if (!lifecycle.listed) continue;
    if (lifecycle.unlisted_since == 0) lifecycle.unlisted_since = context_->now;
    if (HasLeft(*machine))
      releases_->Release(machine.get(), ReleaseReason::kLeftInventory);
  }
}

// The machine was provisioned before this leader was elected. An inventory that
// was read later than that by more than the lag lacks it only if the machine no
// longer exists and the removal of its record was lost. Without this check a
// takeover would wait for such machines.
bool InventoryReconciler::IsMissingAtTakeover(const Machine& machine,
                                              double read_started_at) const {
  return machine.lifecycle.from_earlier_term && !machine.lifecycle.listed &&
         read_started_at > machine.lifecycle.provisioned_at +
                               2 * settings_->cloud_list_lag_s +
                               kInventoryLagMarginS &&
         IsSilent(machine);
}

bool InventoryReconciler::HasLeft(const Machine& machine) const {
  const double max_lag_s = 2 * settings_->cloud_list_lag_s + IntervalS();
  return context_->now - machine.lifecycle.unlisted_since > max_lag_s &&
         IsSilent(machine);
}

bool InventoryReconciler::IsSilent(const Machine& machine) const {
  return context_->now - machine.contact.last_contact_at >
         kSilentHeartbeatIntervals * settings_->heartbeat_interval_s;
}

}  // namespace sorrelwood
