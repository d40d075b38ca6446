// Reconciles the machine table with the cloud's inventory: finds machines that
// are not in the table, and those that are no longer in the inventory.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "core/autoscaling/cloud_call_quota.h"
#include "core/autoscaling/machine_releases.h"
#include "core/autoscaling/offer_catalog.h"
#include "core/engine/context.h"
#include "core/machines/machine_table.h"
#include "core/model/settings.h"

namespace sorrelwood {

class InventoryReconciler {
 public:
  // All must outlive this object.
  InventoryReconciler(Context* context, MachineTable* machines,
                      const OfferCatalog* catalog, CloudCallQuota* quota,
                      MachineReleases* releases,
                      const ClusterSettings* settings)
      : context_(context),
        machines_(machines),
        catalog_(catalog),
        quota_(quota),
        releases_(releases),
        settings_(settings) {}

  // Reads the inventory when it is time and the quota allows it.
  void Tick();

  // The lead is lost: an inventory that is still to come is ignored.
  void Clear();

  // The inventory has been read since this leader was elected.
  bool known() const { return known_; }

 private:
  // Seconds between two reads: longer the more pages there are, each of which
  // is one of the cloud's calls.
  double IntervalS() const;
  void Read();
  // `sent_at`: when the read began (steady clock, s).
  void Reconcile(const std::vector<ListedMachine>& inventory, double sent_at);
  void AddListed(const ListedMachine& listed);
  void ReleaseUnlisted(const std::set<std::string>& listed, double sent_at);
  // The machine, which was not in an inventory read at `sent_at`, was recorded
  // by an earlier leader and has never been in one.
  bool IsMissingAtTakeover(const Machine& machine, double sent_at) const;
  // It was in the inventory, and has been missing for longer than the
  // inventory may lag.
  bool HasLeft(const Machine& machine) const;
  bool IsSilent(const Machine& machine) const;

  Context* context_;
  MachineTable* machines_;
  const OfferCatalog* catalog_;
  CloudCallQuota* quota_;
  MachineReleases* releases_;
  const ClusterSettings* settings_;
  uint64_t generation_ = 0;  // results of an earlier one are ignored
  bool reading_ = false;
  bool known_ = false;
  size_t pages_ = 1;  // of the latest inventory
  double next_read_at_ = 0;
};

}  // namespace sorrelwood
