// Reconciles the machine table with the cloud's inventory: adds machines that
// are missing from the table, and releases those that are no longer in the
// inventory.
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

  // Reads the inventory when a read is due and the quota allows it.
  void Tick();

  // Called when leadership is lost: the result of a read in flight is ignored.
  void Clear();

  // Whether the inventory has been read since this leader was elected.
  bool known() const { return known_; }

 private:
  // Time between two reads: longer for more pages, since each page is one call.
  double IntervalS() const;
  void Read();
  // `read_started_at`: steady clock, s.
  void Reconcile(const std::vector<ListedMachine>& inventory,
                 double read_started_at);
  void AddListed(const ListedMachine& listed);
  void ReleaseUnlisted(const std::set<std::string>& listed,
                       double read_started_at);
  // Whether the machine, which is not in the inventory read at
  // `read_started_at`, was recorded by an earlier leader, has never been in an
  // inventory of this leader, and is silent.
  bool IsMissingAtTakeover(const Machine& machine,
                           double read_started_at) const;
  // Whether the machine, which was in the inventory, has been missing from it
  // for longer than it may lag, and is silent.
  bool HasLeft(const Machine& machine) const;
  bool IsSilent(const Machine& machine) const;

  Context* context_;
  MachineTable* machines_;
  const OfferCatalog* catalog_;
  CloudCallQuota* quota_;
  MachineReleases* releases_;
  const ClusterSettings* settings_;
  uint64_t generation_ = 0;  // results of an earlier generation are ignored
  bool read_in_flight_ = false;
  bool known_ = false;
  size_t page_count_ = 1;    // of the latest inventory
  double next_read_at_ = 0;  // steady clock, s; 0: at once
};

}  // namespace sorrelwood
