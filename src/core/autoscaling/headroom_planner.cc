#include "core/autoscaling/headroom_planner.h"

#include <algorithm>

#include "base/constants/immediate_start_reserves.h"
#include "base/constants/services.h"
#include "core/autoscaling/boot_history.h"
#include "core/autoscaling/expected_capacity.h"

namespace sorrelwood {
namespace {

bool HoldsReplicas(const Machine& machine) {
  return std::any_of(
      machine.attempts.begin(), machine.attempts.end(), [](const auto& item) {
        return item.second.job_active && item.second.record->spec.IsService();
      });
}

}  // namespace

double HeadroomPlanner::ZoneSlots::SumUsable() const {
  double sum = 0;
  for (const auto& [zone, count] : slots) sum += std::min(count, max_per_zone);
  return sum;
}

bool HeadroomPlanner::ZoneSlots::IsFull(const std::string& zone) const {
  const auto zone_slots = slots.find(zone);
  return zone_slots != slots.end() && zone_slots->second >= max_per_zone;
}

bool HeadroomPlanner::ExpectsUnseenClass() const {
  // While there are no jobs at all, no headroom is kept.
  return !jobs_->all().empty() &&
         std::any_of(settings_->objectives.begin(), settings_->objectives.end(),
                     [&](const Objective& objective) {
                       return objective.kind == "wait" &&
                              objective.within_s <= kImmediateStartWithinS &&
                              !jobs_->ProfileOf(objective.job_class);
                     });
}

const MachineType* HeadroomPlanner::FindCheapestType() const {
  const MachineType* cheapest = nullptr;
  for (const auto& [name, type] : catalog_->types())
    if (!cheapest || type.price < cheapest->price) cheapest = &type;
  return cheapest;
}

std::vector<Headroom> HeadroomPlanner::ComputeNeeds() const {
  std::vector<Headroom> needs = placement_->headroom().ForecastNeeds();
  const MachineType* type = FindCheapestType();
  if (!type || !ExpectsUnseenClass()) return needs;
  // Jobs of an unseen class may be of any size: each slot is a whole machine.
  Headroom need;
  need.slots = kUnseenClassHeadroomMachines;
  need.profile.spec.shape = JobShape::kService;
  need.profile.spec.priority = Priority::kProduction;
  need.profile.spec.cpus = type->cpus;
  need.profile.spec.spread = true;
  needs.push_back(need);
  return needs;
}

// --- Machines that are up ---

void HeadroomPlanner::SelectMachines() {
  std::vector<Machine*> candidates;
  for (auto& [name, machine] : machines_->all()) {
    machine->role.for_services = machine->type && HoldsReplicas(*machine);
    if (CountsAsCapacity(*machine) && machine->lifecycle.token_acknowledged)
      candidates.push_back(machine.get());
  }
  const std::vector<Headroom> needs = ComputeNeeds();
  if (needs.empty()) return;
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Machine* a, const Machine* b) {
                     if (a->role.for_services != b->role.for_services)
                       return a->role.for_services;
                     return PricePerCpu(*a) < PricePerCpu(*b);
                   });
  for (const Headroom& need : needs) ReserveMachines(need, candidates);
}

void HeadroomPlanner::ReserveMachines(const Headroom& need,
                                      const std::vector<Machine*>& candidates) {
  const double max_per_zone = need.SlotsPerZone();
  std::map<std::string, double> reserved;  // slots, by zone
  double slots_left = need.slots;
  for (Machine* machine : candidates) {
    if (slots_left < 1) break;
    // A machine that was excess may hold headroom: excess machines are selected
    // anew after this.
    machine->role.excess = false;
    const double slots =
        std::min({slots_left, max_per_zone - reserved[machine->zone],
                  PreemptibleSlots(*machine, need.profile)});
    if (slots < 1) continue;
    reserved[machine->zone] += slots;
    slots_left -= slots;
    machine->role.for_services = true;
  }
}

// --- Machines to be provisioned ---

void HeadroomPlanner::Plan(ScaleOutPlan* plan) {
  for (Headroom& need : ComputeNeeds()) {
    // Replicas that are waiting now need slots besides the headroom.
    for (const auto& [id, job] : jobs_->all())
      if (job->spec().job_class == need.job_class && !job->failing())
        need.slots += job->progress.pending.size();
    PlanNeed(need, plan);
  }
}

void HeadroomPlanner::PlanNeed(const Headroom& need, ScaleOutPlan* plan) const {
  ZoneSlots free = CountExpectedSlots(need, *plan);
  while (free.SumUsable() < need.slots) {
    const Offer* offer = FindCheapestOffer(need.profile, free);
    if (!offer) return;
    plan->AddMachine(*offer);
    AddEmptyMachines(need, *offer->type, offer->zone, offer->spot, 1, &free);
  }
}

HeadroomPlanner::ZoneSlots HeadroomPlanner::CountExpectedSlots(
    const Headroom& need, const ScaleOutPlan& plan) const {
  ZoneSlots free{need.SlotsPerZone(), {}};
  for (const auto& [name, machine] : machines_->all()) {
    if (!CountsAsCapacity(*machine)) continue;
    if (machine->lifecycle.ever_reported)
      free.slots[machine->zone] += PreemptibleSlots(*machine, need.profile);
    else
      AddEmptyMachines(need, *machine->type, machine->zone, machine->spot,
                       EstimateAvailability(*machine, context_->now), &free);
  }
  for (const ProvisioningRecord* record : requests_->ListUnanswered())
    if (const MachineType* type = catalog_->FindType(record->type))
      AddEmptyMachines(need, *type, record->zone, record->spot, record->count,
                       &free);
  for (const Offer& offer : catalog_->offers())
    if (const int planned = plan.Count(offer); planned > 0)
      AddEmptyMachines(need, *offer.type, offer.zone, offer.spot, planned,
                       &free);
  return free;
}

void HeadroomPlanner::AddEmptyMachines(const Headroom& need,
                                       const MachineType& type,
                                       const std::string& zone, bool spot,
                                       double machine_count, ZoneSlots* free) {
  if (AllowsLocation(need.profile.spec, type, zone, spot))
    free->slots[zone] += machine_count * SlotsOnType(type, need.profile);
}

const Offer* HeadroomPlanner::FindCheapestOffer(const ClassProfile& profile,
                                                const ZoneSlots& free) const {
  const Offer* best = nullptr;
  for (const Offer& offer : catalog_->offers()) {
    if (catalog_->IsSuspended(offer) || free.IsFull(offer.zone) ||
        SlotsOnType(*offer.type, profile) < 1 ||
        !AllowsLocation(profile.spec, *offer.type, offer.zone, offer.spot))
      continue;
    if (!best || offer.PricePerCpu() < best->PricePerCpu()) best = &offer;
  }
  return best;
}

}  // namespace sorrelwood
