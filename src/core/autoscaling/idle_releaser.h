// Scale-in: releases machines that have nothing to do, and those that never
// will.
#pragma once

#include <optional>

#include "core/autoscaling/machine_releases.h"
#include "core/engine/context.h"
#include "core/machines/machine_table.h"
#include "core/model/settings.h"

namespace sorrelwood {

class IdleReleaser {
 public:
  // The pointers must outlive this object.
  IdleReleaser(const Context* context, MachineTable* machines,
               MachineReleases* releases, const PolicySettings& policy)
      : context_(context),
        machines_(machines),
        releases_(releases),
        hold_s_(policy.idle_release_delay_s) {}

  // No work can start now, whatever is queued: the time does not count as idle.
  // Prevents the release of machines that queued work will need, when the state
  // service is out or a takeover is not complete.
  void OnWorkBlocked() { work_blocked_at_ = context_->now; }

  // Releases machines that have not come up in time, and empty ones that are
  // faulty, under a preemption notice, or idle beyond the operators' hold time.
  // The baseline and machines for services are never idle.
  void Run();

  // The lead is lost.
  void Clear() { work_blocked_at_.reset(); }

 private:
  void RunEmptyMachine(Machine* machine);

  const Context* context_;
  MachineTable* machines_;
  MachineReleases* releases_;
  const double hold_s_;
  std::optional<double> work_blocked_at_;  // the latest time, steady clock (s)
};

}  // namespace sorrelwood
