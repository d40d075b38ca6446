#include "core/scheduling/immediate_start_reserves.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/constants/immediate_start_reserves.h"
#include "core/scheduling/slots.h"

namespace sorrelwood {

double ImmediateStartReserves::Reserve::CountCoveredSlots() const {
  const double max_per_zone = SlotsPerZone(profile, slots);
  double covered = 0;
  for (const auto& [zone, count] : free_slots)
    covered += std::min(count, max_per_zone);
  return covered;
}

std::vector<std::string> ImmediateStartReserves::ReservedClasses() const {
  std::vector<std::string> classes;
  for (const Objective& objective : settings_->objectives)
    if (objective.kind == "wait" &&
        objective.within_s <= kImmediateStartWithinS)
      classes.push_back(objective.job_class);
  for (const auto& [job_class, profile] : jobs_->class_profiles())
    if (profile.spec.IsService() &&
        std::find(classes.begin(), classes.end(), job_class) == classes.end())
      classes.push_back(job_class);
  return classes;
}

void ImmediateStartReserves::Measure() {
  reserves_.clear();
  stale_ = false;
  for (const std::string& job_class : ReservedClasses()) {
    const ClassProfile* profile = jobs_->ProfileOf(job_class);
    if (!profile) continue;
    Reserve reserve;
    reserve.job_class = job_class;
    reserve.profile = *profile;
    const double all_slots = CountFreeSlots(reserves_.size(), &reserve);
    reserve.slots = SlotsToReserve(*profile, all_slots);
    reserves_.push_back(std::move(reserve));
  }
}

double ImmediateStartReserves::CountFreeSlots(size_t index, Reserve* reserve) {
  double all_slots = 0;
  context_->items_examined += machines_->all().size();
  for (const auto& [name, machine] : machines_->all()) {
    machine->reserve_slots.resize(index + 1);
    double& slots = machine->reserve_slots[index];
    slots = 0;
    if (!eligibility_->AcceptsTasks(*machine)) continue;
    slots = FreeSlots(*machine, reserve->profile);
    reserve->free_slots[machine->zone] += slots;
    all_slots += SlotsWhenEmpty(*machine, reserve->profile);
  }
  return all_slots;
}

double ImmediateStartReserves::SlotsToReserve(const ClassProfile& profile,
                                              double all_slots) {
  const double slots = std::ceil(profile.tasks * kReserveJobs);
  // Tasks that a service can preempt may use its reserve, so the reserve isn't
  // limited to a share of the cluster.
  return profile.spec.IsService()
             ? slots
             : std::min(slots, all_slots * kReserveMaxShare);
}

void ImmediateStartReserves::Recount(Machine* machine) {
  machine->reserve_slots.resize(reserves_.size());
  for (size_t i = 0; i < reserves_.size(); ++i) {
    double& counted_slots = machine->reserve_slots[i];
    const double slots = FreeSlots(*machine, reserves_[i].profile);
    reserves_[i].free_slots[machine->zone] += slots - counted_slots;
    counted_slots = slots;
  }
}

bool ImmediateStartReserves::IsReservedFor(const Job& job) const {
  return std::any_of(reserves_.begin(), reserves_.end(),
                     [&](const Reserve& reserve) {
                       return reserve.job_class == job.spec().job_class;
                     });
}

bool ImmediateStartReserves::MayUse(const Job& job,
                                    const Reserve& reserve) const {
  const JobSpec& spec = job.spec();
  const JobSpec& reserved = reserve.profile.spec;
  if (reserve.job_class == spec.job_class || spec.priority > reserved.priority)
    return true;
  // Prevents jobs from waiting forever while capacity is kept free: a service
  // can preempt their tasks again.
  return reserved.IsService() && context_->now - job.queued_at > kReserveYieldS;
}

bool ImmediateStartReserves::LeavesReservesCovered(
    const Job& job, const Machine& machine) const {
  for (const Reserve& reserve : reserves_) {
    if (MayUse(job, reserve)) continue;
    const double before = FreeSlots(machine, reserve.profile);
    const double after =
        FreeSlotsAfterPlacing(machine, reserve.profile, job.spec());
    if (after >= before) continue;
    Reserve reserve_after = reserve;
    reserve_after.free_slots[machine.zone] += after - before;
    if (reserve_after.CountCoveredSlots() < reserve.slots) return false;
  }
  return true;
}

}  // namespace sorrelwood
