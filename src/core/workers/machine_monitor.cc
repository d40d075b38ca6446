#include "core/workers/machine_monitor.h"

#include <algorithm>
#include <string>
#include <utility>

#include "base/constants.h"

namespace sorrelwood {

void MachineMonitor::Begin() {
  ++generation_;
  elected_at_ = context_->now;
}

double MachineMonitor::LongSilence() const {
  return Silence() + kDirectTimeoutS + kPushEveryS;
}

double MachineMonitor::InheritedUntil() const {
  return elected_at_ + leadership_->answer_reach_s() + Lease();
}

void MachineMonitor::Stalled(double gap_s) {
  for (auto& [name, machine] : machines_->all()) {
    machine->last_heard += gap_s;
    machine->last_report += gap_s;
    machine->reached_at += gap_s;
    machine->unproved_since += gap_s;
  }
}

// Its reports come and are answered, but for longer than its lease no answer is
// proved to have arrived; a slow one is far from that. It is not answered any
// more. Guards against a machine that swallows tasks which never start.
void MachineMonitor::MarkUnreachable(Machine* machine) const {
  const double unproved = machine->last_answered - machine->unproved_since;
  if (machine->deaf || !machine->heard || unproved <= Lease() + Silence())
    return;
  machine->deaf = true;
  context_->Info(machine->name + " reports but nothing reaches it");
}

MachineMonitor::Census MachineMonitor::Count() {
  const double soon = kAbdicateSoonReports * settings_->report_s;
  Census census;
  for (const auto& [name, machine] : machines_->all()) {
    if (HoldsUp(*machine)) ++census.holding;
    if (!machine->ever_reported || !machine->vouched) continue;
    MarkUnreachable(machine.get());
    // One that is neither heard nor listed is a record without a machine.
    // Guards against the lead going round because of such.
    if (!machine->heard && !machine->listed && fleet_->list_known()) continue;
    ++census.expected;
    const double quiet_s = context_->now - machine->last_heard;
    if (machine->deaf || quiet_s > Silence()) ++census.silent;
    if (quiet_s > soon) ++census.quiet;
  }
  return census;
}

// Guards against a leader that is cut off from the workers alone: their leases
// would run out while another controller could answer them. Many that fall
// silent together tell it sooner.
bool MachineMonitor::MostAreSilent(const Census& census) const {
  if (context_->now - elected_at_ <= Silence()) return false;
  const int heard = census.expected - census.silent;
  const int heard_lately = census.expected - census.quiet;
  return (census.expected >= kAbdicateMachines &&
          heard < census.expected * kAbdicateHeardShare) ||
         (census.expected >= kAbdicateSoonMachines &&
          heard_lately < census.expected * kAbdicateSoonShare);
}

bool MachineMonitor::HoldsUp(const Machine& machine) const {
  const double unshown = kTakeoverReports * settings_->report_s +
                         kDirectTimeoutS + kPushEveryS / 2;
  return machine.inherited && machine.ever_reported && !machine.releasing &&
         machine.pushes_missed > 0 && machine.sequence == 0 &&
         context_->now - elected_at_ > unshown;
}

void MachineMonitor::Watch() {
  const Census census = Count();
  // While the state service is out nobody else could lead.
  if (leadership_->MayLaunch() && MostAreSilent(census)) {
    leadership_->Abdicate("most machines are silent");
    if (!leadership_->leading()) return;
  }
  // After a takeover every inherited job waits for the last machine. A few that
  // neither report nor answer are most likely gone: returned at once, as the
  // proof, they cost the work on them if they are not.
  const bool few_hold_up =
      census.holding <= std::max(1.0, census.expected * kHoldUpShare);
  const bool few_silent =
      census.silent <= std::max(1.0, census.expected * kEarlyReleaseShare);
  for (auto& [name, machine] : machines_->all())
    if (machine->ever_reported) Inspect(machine.get(), few_silent, few_hold_up);
}

void MachineMonitor::Inspect(Machine* machine, bool few_silent,
                             bool few_hold_up) {
  // Guards against a machine that answers direct commands but reaches no
  // controller: work chosen for it would wait there for a report.
  const double quiet_s = context_->now - machine->last_report;
  // Most show our token in their first two reports after a takeover.
  const bool stuck =
      machine->inherited &&
      context_->now - elected_at_ > kTakeoverReports * settings_->report_s;
  if ((stuck || quiet_s > Silence()) && !machine->address.empty() &&
      !machine->pushing && !machine->releasing &&
      context_->now >= machine->next_push)
    ShowToken(machine);
  // Whether or not it reports or is being returned: no earlier leader can have
  // kept its tasks for so long. Guards against one that never shows our token
  // and would hold up every inherited job and count against every limit for
  // ever.
  if (machine->inherited && context_->now > InheritedUntil()) {
    context_->Info(machine->name +
                   " has not shown our token: its tasks are gone");
    handlers_.drop_everything(machine);
  }
  if (few_hold_up && HoldsUp(*machine)) {
    fleet_->Return(machine, "it holds up what was taken over");
    return;
  }
  // It has spoken, has been answered, and still has not shown our token:
  // nothing reaches it, or its report was a late copy.
  const bool unheard =
      !machine->heard && context_->now - machine->reached_at > LongSilence();
  if (quiet_s > Silence() || machine->deaf || unheard)
    GiveUp(machine, few_silent, unheard);
}

void MachineMonitor::GiveUp(Machine* machine, bool few_silent, bool unheard) {
  handlers_.drop_unsent(machine);
  const double lost_at =
      machine->inherited ? InheritedUntil() : machine->last_answered + Lease();
  if (context_->now > lost_at && !machine->tasks.empty()) {
    context_->Info(machine->name +
                   " has been out of reach for its lease: its tasks are gone");
    handlers_.drop_everything(machine);
  }
  const double long_lost_at =
      std::min(machine->reached_at, machine->last_report) + Lease() +
      kLostReturnS + 2 * settings_->lease_s;
  if ((few_silent || !machine->vouched) && (machine->deaf || unheard))
    fleet_->Return(machine, "it does not hear us");
  else if (few_silent && context_->now - machine->last_report > LongSilence())
    fleet_->Return(machine, "it is silent");
  else if (context_->now > lost_at && context_->now > long_lost_at)
    fleet_->Return(machine, "it has been out of reach for long");
}

void MachineMonitor::ShowToken(Machine* machine) {
  machine->pushing = true;
  machine->next_push = context_->now + kPushEveryS;
  DirectCommand command;
  command.machine = machine->name;
  command.address = machine->address;
  command.token = leadership_->term();
  command.session = machine->session;
  context_->Direct(std::move(command), [this, name = machine->name,
                                        generation = generation_](
                                           const DirectResult& result) {
    if (generation != generation_) return;
    Machine* shown = machines_->Find(name);
    if (!shown) return;
    shown->pushing = false;
    if (!result.answered || result.report.machine != name) {
      ++shown->pushes_missed;
      return;
    }
    shown->pushes_missed = 0;
    shown->reached_at = context_->now;
    if (std::make_pair(result.report.session, result.report.sequence) >
        std::make_pair(shown->session, shown->sequence))
      handlers_.on_report(shown, result.report);
  });
}

}  // namespace sorrelwood
