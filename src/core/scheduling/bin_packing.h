// Bin packing: which of several machines a task goes to. Best fit by free
// cores, after criteria that weigh more.
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

// How well a machine suits a task; the least is the best. The first criterion
// in which two machines differ decides.
struct FitScore {
  // Machines that are to be drained come last.
  bool draining = false;
  // What is to start at once goes where its image is.
  bool fetch_delays_start = false;
  // Replicas of a service are kept apart where room allows.
  size_t replicas_of_job = 0;
  // What is to start at once goes to the machine that reports next: the one
  // with the oldest heartbeat. 0 for all other work.
  double last_heartbeat_at = 0;
  // Owned machines go first: they cost the same whether they are used or not.
  bool rented = false;
  // Load spread: the task would take the machine beyond its bounds.
  bool crowded = false;
  // The image is to be fetched, and that takes long beside the task.
  bool long_fetch = false;
  // Best fit: the least room that suffices keeps large gaps for large tasks.
  double cpus_free = 0;
  // The image is to be fetched, if quickly.
  bool fetch = false;
  // Load spread: gathers the tasks of an image on few machines.
  uint64_t tie_break = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): wrong report of clang-tidy 14.
  auto operator<=>(const FitScore&) const = default;
};

class BinPacker {
 public:
  // All must outlive this object.
  BinPacker(Context* context, const JobTable* jobs,
            const Eligibility* eligibility,
            const ImmediateStartReserves* reserves,
            const GuaranteeDeficit* deficit)
      : context_(context),
        jobs_(jobs),
        eligibility_(eligibility),
        reserves_(reserves),
        deficit_(deficit) {}

  // Null: load is not spread. Must outlive this object.
  void set_spread(const PlacementSpread* spread) { spread_ = spread; }

  // The best of the candidates for a task of the job; null where none may take
  // it. Machines that are kept for the jobs in deficit are left out.
  Machine* BestFit(const Job& job, const std::vector<Machine*>& candidates,
                   CapacityClass capacity,
                   const std::vector<const Job*>& in_deficit) const;

 private:
  FitScore Score(const Job& job, const Machine& machine,
                 bool starts_at_once) const;
  // Replicas of the job on the machine; 0 for a job array.
  static size_t ReplicasOn(const Job& job, const Machine& machine);
  // Fetching the job's image there takes more than kLongFetchShare of a task's
  // run time.
  bool IsLongFetch(const Job& job, const Machine& machine) const;

  Context* context_;
  const JobTable* jobs_;
  const Eligibility* eligibility_;
  const ImmediateStartReserves* reserves_;
  const GuaranteeDeficit* deficit_;
  const PlacementSpread* spread_ = nullptr;
};

}  // namespace sorrelwood
