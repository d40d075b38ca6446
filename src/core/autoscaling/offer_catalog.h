// The cloud's offers: machine types by zone and purchase option, with their
// prices, and which of these offers it has recently refused.
#pragma once

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "core/engine/context.h"
#include "core/machines/machine_table.h"
#include "core/model/machine_type.h"
#include "core/model/settings.h"

namespace sorrelwood {

// Capacity from which the cloud provisions machines: one machine type in one
// zone, spot (preemptible) or on demand.
struct CapacityPool {
  std::string type;  // name in the catalogue
  std::string zone;
  bool spot = false;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const CapacityPool&) const = default;
};

// A capacity pool of the current catalogue with its price.
struct Offer {
  const MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
  double price = 0;  // of one machine per hour

  CapacityPool Pool() const { return {type->name, zone, spot}; }
  double PricePerCpu() const { return price / type->cpus; }
};

// The price of a provisioned machine per CPU and hour. Its type must be known.
double PricePerCpu(const Machine& machine);

class OfferCatalog {
 public:
  // `context` must outlive this object.
  OfferCatalog(const Context* context, const PolicySettings& policy)
      : context_(context), use_spot_(policy.use_spot) {}

  // Takes over prices and new types. Types that are missing from `types` are
  // kept: machines point to them.
  void Update(const std::vector<MachineType>& types);

  // Null if no catalogue has contained the type. The pointer stays valid.
  const MachineType* FindType(const std::string& name) const;
  const std::map<std::string, MachineType>& types() const { return types_; }

  // Sorted by type name, then in the catalogue's order of zones, spot before on
  // demand. Spot offers are omitted if the operators exclude them. Valid until
  // the next update.
  const std::vector<Offer>& offers() const { return offers_; }

  // Excludes the pool for `pause_s` seconds, because the cloud refused a
  // request or provisioned fewer machines than requested. Prevents a pool
  // without capacity from using up the cloud's call rate.
  void Suspend(const CapacityPool& pool, double pause_s);
  bool IsSuspended(const Offer& offer) const;
  void ClearSuspensions() { suspended_until_.clear(); }

 private:
  const Context* context_;
  const bool use_spot_;
  std::map<std::string, MachineType> types_;
  std::vector<Offer> offers_;
  std::map<CapacityPool, double> suspended_until_;  // steady clock, s
};

}  // namespace sorrelwood
