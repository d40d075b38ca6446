// Bin packing: chooses the machine for a task among several candidates. Best
// fit by free cores is one criterion; others take precedence over it.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/scheduling/admission.h"
#include "core/scheduling/eligibility.h"
#include "core/scheduling/guarantee_deficit.h"
#include "core/scheduling/immediate_start_reserves.h"
#include "core/scheduling/placement_spread.h"

namespace sorrelwood {

// How well a machine suits a task; the lowest score wins. Scores are compared
// field by field in the order of declaration.
struct FitScore {
  // Machines chosen for draining come last.
  bool draining = false;
  // The image must be fetched, for a task that must start immediately.
  bool fetch_delays_start = false;
  // Number of replicas of the same service on the machine; 0 for a job array.
  // Machines with fewer are preferred.
  size_t replicas_of_job = 0;
  // Tasks that must start immediately prefer the machine that reports next,
  // which is the one with the oldest heartbeat: start commands are sent in
  // responses to heartbeats. 0 for all other tasks.
  double last_heartbeat_at = 0;
  // Owned machines are preferred: they cost the same whether used or idle.
  bool rented = false;
  // Load spread: the task would push the machine beyond its load bounds.
  bool crowded = false;
  // The image must be fetched, which takes long compared with the task.
  bool long_fetch = false;
  // Best fit: the machine with the fewest free cores that suffice is preferred,
  // which leaves large free blocks for large tasks.
  double cpus_free = 0;
  // The image must be fetched, however quickly.
  bool needs_fetch = false;
  // Load spread: concentrates the tasks that use an image on few machines. 0
  // while load spread is off.
  uint64_t tie_break = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const FitScore&) const = default;
};

class BinPacker {
 public:
  // All arguments must outlive this object.
  BinPacker(Context* context, const JobTable* jobs,
            const Eligibility* eligibility,
            const ImmediateStartReserves* reserves,
            const GuaranteeDeficit* deficit)
      : context_(context),
        jobs_(jobs),
        eligibility_(eligibility),
        reserves_(reserves),
        deficit_(deficit) {}

  // Null turns load spread off. Must outlive this object.
  void set_spread(const PlacementSpread* spread) { spread_ = spread; }

  // Returns the best candidate for a task of the job, or null if none may run
  // it. Skips machines that are withheld for the jobs in `in_deficit`.
  Machine* BestFit(const Job& job, const std::vector<Machine*>& candidates,
                   CapacityClass capacity,
                   const std::vector<const Job*>& in_deficit) const;

 private:
  FitScore Score(const Job& job, const Machine& machine,
                 bool starts_immediately) const;
  // Returns the number of the job's replicas on the machine; 0 for a job array.
  static size_t CountReplicasOn(const Job& job, const Machine& machine);
  // True if fetching the job's image on the machine takes more than
  // kLongFetchShare of a task's run time.
  bool IsLongFetch(const Job& job, const Machine& machine) const;

  Context* context_;
  const JobTable* jobs_;
  const Eligibility* eligibility_;
  const ImmediateStartReserves* reserves_;
  const GuaranteeDeficit* deficit_;
  const PlacementSpread* spread_ = nullptr;
};

}  // namespace sorrelwood
