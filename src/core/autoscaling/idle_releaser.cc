#include "core/autoscaling/idle_releaser.h"

#include <algorithm>

#include "core/autoscaling/boot_history.h"

namespace sorrelwood {
namespace {

// Whether the machine has no tasks, no reservations and no completions still to
// be recorded. A machine that has not acknowledged the fencing token may run
// tasks that this leader does not know.
bool IsEmpty(const Machine& machine) {
  return machine.attempts.empty() && machine.unrecorded_completions.empty() &&
         machine.lifecycle.token_acknowledged && !machine.HasReservations();
}

}  // namespace

void IdleReleaser::Run() {
  const BootHistory boot_history(machines_);
  for (auto& [name, machine] : machines_->all()) {
    if (machine->lifecycle.terminating || !machine->type) continue;
    if (!machine->lifecycle.ever_reported) {
      if (boot_history.HasTimedOut(*machine, context_->now))
        releases_->Release(machine.get(), ReleaseReason::kBootTimeout);
    } else if (!IsEmpty(*machine)) {
      machine->lifecycle.idle_since = 0;
    } else {
      ReleaseEmptyMachineIfDue(machine.get());
    }
  }
}

void IdleReleaser::ReleaseEmptyMachineIfDue(Machine* machine) {
  const double now = context_->now;
  if (machine->health.quarantined) {
    if (now >= machine->health.suspect_until)
      releases_->Release(machine, ReleaseReason::kFaulty);
    return;
  }
  if (machine->lifecycle.preemption_deadline > 0) {
    releases_->Release(machine, ReleaseReason::kPreempted);
    return;
  }
  if (machine->lifecycle.idle_since == 0) machine->lifecycle.idle_since = now;
  if (machine->role.baseline || machine->role.for_services) return;
  const double idle_since =
      std::max(machine->lifecycle.idle_since, work_blocked_at_.value_or(0));
  if (now - idle_since > release_delay_s_)
    releases_->Release(machine, ReleaseReason::kIdle);
}

}  // namespace sorrelwood
