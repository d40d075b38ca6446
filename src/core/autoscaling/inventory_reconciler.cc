#include "core/autoscaling/inventory_reconciler.h"

#include <algorithm>

#include "base/constants.h"
#include "core/autoscaling/machine_registration.h"

namespace sorrelwood {

void InventoryReconciler::Clear() {
  ++generation_;
  reading_ = known_ = false;
  pages_ = 1;
  next_read_at_ = 0;
}

double InventoryReconciler::IntervalS() const {
  return std::max(kInventoryIntervalS,
                  static_cast<double>(pages_) /
                      (quota_->CallsPerS() * kInventoryCallShare));
}

void InventoryReconciler::Tick() {
  if (!reading_ && context_->now >= next_read_at_ && quota_->TryAcquire())
    Read();
}

void InventoryReconciler::Read() {
  reading_ = true;
  next_read_at_ = context_->now + IntervalS();
  const double page_pause_s = 1 / quota_->CallsPerS();
  context_->ListMachines(
      page_pause_s, [this, sent_at = context_->now,
                     generation = generation_](const CloudResult& result) {
        if (generation != generation_) return;
        reading_ = false;
        // Each page was a call; the first one has been paid for.
        const size_t further_pages = result.listed.size() / kInventoryPageSize;
        quota_->Charge(static_cast<double>(further_pages));
        pages_ = further_pages + 1;
        if (result.outcome == Outcome::kOk) Reconcile(result.listed, sent_at);
      });
}

void InventoryReconciler::Reconcile(const std::vector<ListedMachine>& inventory,
                                    double sent_at) {
  known_ = true;
  std::set<std::string> listed;
  for (const ListedMachine& item : inventory) {
    listed.insert(item.name);
    AddListed(item);
  }
  ReleaseUnlisted(listed, sent_at);
}

void InventoryReconciler::AddListed(const ListedMachine& listed) {
  if (machines_->IsGone(listed.name)) return;  // the inventory lags
  const double provisioned_at = context_->now - listed.age_s;
  Machine* machine = machines_->Find(listed.name);
  // A provisioning request that was carried out late: used like any other.
  if (!machine || !machine->lifecycle.identity_confirmed)
    machine = RegisterMachine(
        machines_, *catalog_,
        {listed.name, {listed.type, listed.zone, listed.spot}, provisioned_at});
  // Only the inventory tells when an earlier leader provisioned a machine.
  if (!machine->lifecycle.ever_reported)
    machine->lifecycle.rented_at =
        std::min(machine->lifecycle.rented_at, provisioned_at);
  machine->lifecycle.listed = machine->lifecycle.identity_confirmed = true;
  machine->lifecycle.unlisted_since = 0;
  if (machine->address.empty()) machine->address = listed.address;
  if (listed.status == MachineStatus::kFailed)
    releases_->Release(machine, ReleaseReason::kFailedInCloud);
}

// A machine that is not in the inventory is released all the same: the cloud's
// answer is the proof that it is gone, an inventory alone is none.
void InventoryReconciler::ReleaseUnlisted(const std::set<std::string>& listed,
                                          double sent_at) {
  for (auto& [name, machine] : machines_->all()) {
    MachineLifecycle& lifecycle = machine->lifecycle;
    if (listed.count(name) || lifecycle.terminating) continue;
    if (IsMissingAtTakeover(*machine, sent_at)) {
      releases_->Release(machine.get(), ReleaseReason::kMissingAtTakeover);
      continue;
    }
    if (!lifecycle.listed) continue;
    if (lifecycle.unlisted_since == 0) lifecycle.unlisted_since = context_->now;
    if (HasLeft(*machine))
      releases_->Release(machine.get(), ReleaseReason::kLeftInventory);
  }
}

// It was provisioned before this leader was elected. An inventory so much later
// lacks it only if it is gone and the removal of its record was lost. Prevents
// a takeover from waiting for machines that no longer exist, however many.
bool InventoryReconciler::IsMissingAtTakeover(const Machine& machine,
                                              double sent_at) const {
  return machine.lifecycle.from_earlier_term && !machine.lifecycle.listed &&
         sent_at > machine.lifecycle.rented_at +
                       2 * settings_->cloud_list_lag_s + kInventoryLagMarginS &&
         IsSilent(machine);
}

bool InventoryReconciler::HasLeft(const Machine& machine) const {
  const double lag_s = 2 * settings_->cloud_list_lag_s + IntervalS();
  return context_->now - machine.lifecycle.unlisted_since > lag_s &&
         IsSilent(machine);
}

bool InventoryReconciler::IsSilent(const Machine& machine) const {
  return context_->now - machine.contact.last_contact_at >
         kSilentHeartbeats * settings_->heartbeat_interval_s;
}

}  // namespace sorrelwood
