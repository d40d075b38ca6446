#include "core/scheduling/placement.h"

#include <utility>

#include "core/scheduling/pass_selection.h"

namespace sorrelwood {
namespace {

// An attempt number holds the term in the upper 32 bits and a counter in the
// lower 32 bits, so that no two leaders assign the same number.
constexpr int kTermShift = 32;

}  // namespace

Placement::Placement(Context* context, JobTable* jobs, MachineTable* machines,
                     const ClusterSettings* settings)
    : context_(context),
      jobs_(jobs),
      machines_(machines),
      settings_(settings),
      eligibility_(context, settings),
      admission_(context, jobs, settings),
      headroom_(context, jobs, machines, &admission_),
      reserves_(context, jobs, machines, settings, &eligibility_),
      deficit_(jobs, &admission_, &eligibility_),
      packer_(context, jobs, &eligibility_, &reserves_, &deficit_),
      guarantee_preemption_(context, jobs, machines, settings, &eligibility_,
                            &deficit_) {}

void Placement::set_spread(PlacementSpread* spread) {
  spread_ = spread;
  packer_.set_spread(spread);
}

std::vector<Job*> Placement::SelectJobsForPass() {
  return SelectJobs(context_, jobs_, *settings_, &admission_);
}

std::vector<Machine*> Placement::SelectMachinesForPass(
    const std::vector<Job*>& jobs) {
  std::vector<Machine*> candidates;
  context_->items_examined += machines_->all().size();
  for (auto& [name, machine] : machines_->all())
    if (machine->cpus_free() > 0 && eligibility_.AcceptsTasks(*machine))
      candidates.push_back(machine.get());
  if (candidates.empty()) return candidates;
  if (spread_) spread_->Update(context_->now);
  SampleMachines(context_, jobs, &candidates);
  return candidates;
}

void Placement::RunPass(uint64_t term) {
  const std::vector<Job*> jobs = SelectJobsForPass();
  if (jobs.empty()) {
    reserves_.Invalidate();
    return;
  }
  reserves_.Measure();
  const std::vector<Machine*> candidates = SelectMachinesForPass(jobs);
  if (candidates.empty()) return;
  std::vector<const Job*> in_deficit;
  for (const bool guarantee_pass : {true, false}) {
    if (!guarantee_pass) in_deficit = deficit_.FindJobsInDeficit(jobs);
    for (Job* job : jobs)
      for (const auto capacity : {CapacityClass::kOwned, CapacityClass::kAny})
        PlaceOnBestFits(job, candidates, in_deficit, {guarantee_pass, capacity},
                        term);
  }
}

void Placement::PlaceOnBestFits(Job* job,
                                const std::vector<Machine*>& candidates,
                                const std::vector<const Job*>& in_deficit,
                                Restrictions restrictions, uint64_t term) {
  // Fills each best fit before the next search. For a job array it stays the
  // best until it is full or crowded. For a service it may not
  // (replicas_of_job), so that several replicas of one pass may be placed on
  // the same machine.
  while (admission_.NextRunnableTask(*job, restrictions.capacity) &&
         admission_.WithinQuota(*job) &&
         (!restrictions.guarantee_pass || admission_.InGuaranteePass(*job))) {
    Machine* machine =
        packer_.BestFit(*job, candidates, restrictions.capacity, in_deficit);
    if (!machine) return;
    restrictions.avoid_crowding =
        spread_ && !spread_->WouldCrowd(*job, *machine);
    if (!PlaceOn(machine, job, restrictions, term)) return;
  }
}

void Placement::FillMachine(Machine* machine, uint64_t term) {
  if (!eligibility_.AcceptsTasks(*machine) || machine->role.excess ||
      machine->cpus_free() <= 0)
    return;
  const std::vector<Job*> jobs = SelectJobsForPass();
  if (jobs.empty()) return;
  reserves_.MeasureIfStale();
  reserves_.Recount(machine);
  const bool owned = machine->role.baseline;
  const bool avoid_crowding = spread_ && !owned;
  std::vector<const Job*> in_deficit;
  for (const bool guarantee_pass : {true, false}) {
    if (!guarantee_pass) in_deficit = deficit_.FindJobsInDeficit(jobs);
    for (Job* job : jobs) {
      if (deficit_.IsWithheldFrom(*job, *machine, in_deficit)) continue;
      if (owned)
        PlaceOn(machine, job,
                {guarantee_pass, CapacityClass::kOwned, avoid_crowding}, term);
      PlaceOn(machine, job,
              {guarantee_pass, CapacityClass::kAny, avoid_crowding}, term);
      if (machine->cpus_free() <= 0) return;
    }
  }
}

bool Placement::MayPlaceOn(const Machine& machine, const Job& job,
                           const Restrictions& restrictions) const {
  return machine.Fits(job.spec()) && eligibility_.IsEligible(job, machine) &&
         admission_.WithinQuota(job) &&
         reserves_.LeavesReservesCovered(job, machine) &&
         (!restrictions.guarantee_pass || admission_.InGuaranteePass(job)) &&
         (!restrictions.avoid_crowding || !spread_->WouldCrowd(job, machine));
}

bool Placement::PlaceOn(Machine* machine, Job* job,
                        const Restrictions& restrictions, uint64_t term) {
  bool placed = false;
  while (MayPlaceOn(*machine, *job, restrictions)) {
    const auto task = admission_.NextRunnableTask(*job, restrictions.capacity);
    if (!task) break;
    Assign(job, *task, machine, term);
    reserves_.Recount(machine);
    placed = true;
  }
  return placed;
}

void Placement::Assign(Job* job, uint32_t task, Machine* machine,
                       uint64_t term) {
  const JobSpec& spec = job->spec();
  SpeculationState& speculation = job->speculation;
  TaskAttempt attempt;
  attempt.number = (term << kTermShift) | ++attempt_counter_;
  attempt.resources = ResourcesPerTask(spec);
  attempt.record = job->record;
  attempt.speculative =
      !machine->role.baseline && !speculation.run_on_rented.Contains(task);
  if (const auto ran_before = speculation.ran_before_move_s.find(task);
      ran_before != speculation.ran_before_move_s.end()) {
    attempt.ran_before_s = ran_before->second;
    speculation.ran_before_move_s.erase(ran_before);
  }
  speculation.waiting_for_owned_since.erase(task);
  admission_.OnTaskPlaced(spec);
  jobs_->MarkPlaced(job, task, machine->name, machine->zone);
  machine->AddAttempt({job->id(), task}, std::move(attempt));
  if (!machine->HasImage(spec.image)) machine->fetching.push_back(spec.image);
  machine->TouchImage(spec.image);
}

void Placement::PreemptForGuarantees() {
  guarantee_preemption_.MakeRoom(
      deficit_.FindJobsInDeficit(SelectJobsForPass()));
}

}  // namespace sorrelwood
