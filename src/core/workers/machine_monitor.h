// Watches which machines are in reach of the leader: shows its token to those
// that are silent, gives up those that are gone, and leaves the lead when most
// machines are out of reach.
#pragma once

#include <cstdint>
#include <functional>

#include "base/constants.h"
#include "core/autoscaling/fleet.h"
#include "core/coordination/leadership.h"
#include "core/engine/context.h"
#include "core/machines/machine_table.h"

namespace sorrelwood {

class MachineMonitor {
 public:
  // What becomes of a machine, carried out by the owner.
  struct Handlers {
    // A report came in answer to a direct command.
    std::function<void(Machine*, const WorkerReport&)> on_report;
    // What was chosen for the machine and not sent goes elsewhere.
    std::function<void(Machine*)> drop_unsent;
    // Nothing that was on the machine can be there any more.
    std::function<void(Machine*)> drop_everything;
  };

  MachineMonitor(Context* context, MachineTable* machines,
                 Leadership* leadership, Fleet* fleet,
                 const ClusterSettings* settings, Handlers handlers)
      : context_(context),
        machines_(machines),
        leadership_(leadership),
        fleet_(fleet),
        settings_(settings),
        handlers_(std::move(handlers)) {}

  // A new term begins; results of the one before are ignored.
  void Begin();
  // Looks at all machines. On return this node may no longer lead.
  void Watch();
  // The process stood still for so long (s): what the machines said meanwhile
  // was not heard. Guards against taking the gap for their silence. Their
  // leases ran on, so when they were last answered stays.
  void Stalled(double gap_s);
  // A machine quiet for so long has been shown the token directly, in vain (s).
  double LongSilence() const;

 private:
  struct Census {
    int expected = 0;  // machines that should report
    int silent = 0;    // of them, not heard for long
    int quiet = 0;     // of them, not heard for a while
    int holding = 0;   // hold up what was taken over
  };

  double Silence() const { return kSilentReports * settings_->report_s; }
  double Lease() const { return settings_->lease_s * (1 + kClockDrift) + 1; }
  // Until then an earlier leader's answers may have kept a machine's tasks.
  double InheritedUntil() const;
  Census Count();
  void MarkUnreachable(Machine* machine) const;
  bool MostAreSilent(const Census& census) const;
  // It was taken over, neither reports nor answers, and all that was taken over
  // waits for it.
  bool HoldsUp(const Machine& machine) const;
  void Inspect(Machine* machine, bool few_silent, bool few_hold_up);
  void GiveUp(Machine* machine, bool few_silent, bool unheard);
  // Shows a machine the token, whoever it reports to, and reads what it holds.
  void ShowToken(Machine* machine);

  Context* context_;
  MachineTable* machines_;
  Leadership* leadership_;
  Fleet* fleet_;
  const ClusterSettings* settings_;
  Handlers handlers_;
  uint64_t generation_ = 0;
  double elected_at_ = 0;
};

}  // namespace sorrelwood
