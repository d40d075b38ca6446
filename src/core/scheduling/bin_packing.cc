#include "core/scheduling/bin_packing.h"

#include <algorithm>

#include "base/constants/placement.h"

namespace sorrelwood {

Machine* BinPacker::BestFit(const Job& job,
                            const std::vector<Machine*>& candidates,
                            CapacityClass capacity,
                            const std::vector<const Job*>& in_deficit) const {
  Machine* best = nullptr;
  FitScore best_score;
  const bool starts_immediately = reserves_->IsReservedFor(job);
  context_->items_examined += candidates.size();
  for (Machine* machine : candidates) {
    if (capacity == CapacityClass::kOwned && !machine->role.baseline) continue;
    if (!machine->Fits(job.spec()) ||
        !eligibility_->IsEligible(job, *machine) ||
        !reserves_->LeavesReservesCovered(job, *machine) ||
        deficit_->IsWithheldFrom(job, *machine, in_deficit))
      continue;
    const FitScore score = Score(job, *machine, starts_immediately);
    if (best && !(score < best_score)) continue;
    best = machine;
    best_score = score;
  }
  return best;
}

FitScore BinPacker::Score(const Job& job, const Machine& machine,
                          bool starts_immediately) const {
  const bool needs_fetch = !machine.HasImage(job.spec().image);
  FitScore score;
  score.draining = machine.role.excess;
  score.fetch_delays_start = starts_immediately && needs_fetch;
  score.replicas_of_job = CountReplicasOn(job, machine);
  score.last_heartbeat_at =
      starts_immediately ? machine.contact.last_heartbeat_at : 0;
  score.rented = !machine.role.baseline;
  score.crowded = spread_ && spread_->WouldCrowd(job, machine);
  score.long_fetch = needs_fetch && IsLongFetch(job, machine);
  score.cpus_free = machine.cpus_free();
  score.needs_fetch = needs_fetch;
  score.tie_break = spread_ ? spread_->TieBreak(job, machine) : 0;
  return score;
}

size_t BinPacker::CountReplicasOn(const Job& job, const Machine& machine) {
  if (!job.spec().IsService()) return 0;
  const auto& machine_of_task = job.progress.machine_of_task;
  return static_cast<size_t>(std::count_if(
      machine_of_task.begin(), machine_of_task.end(),
      [&](const auto& placed) { return placed.second == machine.name; }));
}

bool BinPacker::IsLongFetch(const Job& job, const Machine& machine) const {
  return job.spec().image_gb > kLongFetchShare *
                                   jobs_->EstimateRunTime(job.spec()) *
                                   machine.type->fetch_gb_per_s;
}

}  // namespace sorrelwood
