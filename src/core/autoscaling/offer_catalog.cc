#include "core/autoscaling/offer_catalog.h"

#include <algorithm>

namespace sorrelwood {

double PricePerCpu(const Machine& machine) {
  const double price =
      machine.spot ? machine.type->spot_price : machine.type->price;
  return price / std::max(1.0, machine.type->cpus);
}

void OfferCatalog::Update(const std::vector<MachineType>& types) {
  // Entries are overwritten in place: machines point to them.
  for (const MachineType& type : types) types_[type.name] = type;
  offers_.clear();
  for (const auto& [name, type] : types_) {
    for (const std::string& zone : type.zones) {
      if (use_spot_) offers_.push_back({&type, zone, true, type.spot_price});
      offers_.push_back({&type, zone, false, type.price});
    }
  }
}

const MachineType* OfferCatalog::FindType(const std::string& name) const {
  const auto entry = types_.find(name);
  return entry == types_.end() ? nullptr : &entry->second;
}

void OfferCatalog::Suspend(const CapacityPool& pool, double pause_s) {
  suspended_until_[pool] = context_->now + pause_s;
}

bool OfferCatalog::IsSuspended(const Offer& offer) const {
  const auto suspension = suspended_until_.find(offer.Pool());
  return suspension != suspended_until_.end() &&
         context_->now < suspension->second;
}

}  // namespace sorrelwood
