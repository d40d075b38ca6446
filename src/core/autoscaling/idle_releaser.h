// Scale-in: releases idle machines, and those that cannot run tasks.
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
        release_delay_s_(policy.idle_release_delay_s) {}

  // Called while no tasks can start, whatever is queued: this time does not
  // count as idle. Prevents the release of machines that queued work will need
  // once an outage of the state service or a takeover has ended.
  void OnWorkBlocked() { work_blocked_at_ = context_->now; }

  // Releases machines whose boot has timed out, and empty ones that are faulty,
  // under a preemption notice, or idle for longer than `idle_release_delay_s`.
  // Machines of the baseline and for services are not released as idle.
  void Run();

  // Called when leadership is lost.
  void Clear() { work_blocked_at_.reset(); }

 private:
  void ReleaseEmptyMachineIfDue(Machine* machine);

  const Context* context_;
  MachineTable* machines_;
  MachineReleases* releases_;
  const double release_delay_s_;
  std::optional<double> work_blocked_at_;  // last time; steady clock, s
};

}  // namespace sorrelwood
