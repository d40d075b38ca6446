#include "core/scheduling/guarantee_preemption.h"

#include <algorithm>
#include <utility>

#include "base/constants.h"
#include "core/scheduling/task_stop.h"

namespace sorrelwood {

bool GuaranteePreemption::Room::Fits(const JobSpec& spec) const {
  return spec.cpus <= cpus && spec.memory_gb <= memory_gb;
}

bool GuaranteePreemption::Room::FitsAfterPreemption(const JobSpec& spec) const {
  double cpus_after = cpus, memory_gb_after = memory_gb;
  for (const TaskAttempt* attempt : preemptible) {
    cpus_after += attempt->cpus;
    memory_gb_after += attempt->memory_gb;
  }
  return spec.cpus <= cpus_after && spec.memory_gb <= memory_gb_after;
}

void GuaranteePreemption::Room::Allocate(const JobSpec& spec) {
  cpus -= spec.cpus;
  memory_gb -= spec.memory_gb;
}

void GuaranteePreemption::Room::Release(const TaskAttempt& attempt) {
  cpus += attempt.cpus;
  memory_gb += attempt.memory_gb;
}

bool GuaranteePreemption::Demand::IsOpen() const {
  // Without the minimum, a task that asks for 0 CPUs would be covered by a
  // guarantee that is used up.
  const double cpus = std::max(job->spec().cpus, kResourceRounding);
  return tasks >= 1 && *unused_guarantee_cpus >= cpus;
}

void GuaranteePreemption::MakeRoom(const std::vector<const Job*>& in_deficit) {
  if (in_deficit.empty()) return;
  MeasureTeams();
  MeasureRooms();
  for (const Job* job : in_deficit) {
    Demand demand{job, static_cast<double>(job->progress.pending.size()),
                  &unused_guarantee_cpus_[job->spec().team]};
    // Capacity that is free or coming free is used before tasks are stopped.
    for (const bool may_preempt : {false, true})
      CoverDemand(&demand, may_preempt);
  }
  rooms_.clear();  // the pointers to attempts are valid during this run only
}

void GuaranteePreemption::MeasureTeams() {
  cpus_beyond_guarantee_.clear();
  unused_guarantee_cpus_.clear();
  for (const Team& team : settings_->teams) {
    const double usage = jobs_->UsageOf(team.name).cpus;
    cpus_beyond_guarantee_[team.name] = usage - team.cpus;
    unused_guarantee_cpus_[team.name] = team.cpus - usage;
  }
}

void GuaranteePreemption::MeasureRooms() {
  rooms_.clear();
  context_->items_examined += machines_->all().size();
  for (auto& [name, machine] : machines_->all()) {
    if (!eligibility_->AcceptsTasks(*machine) || !machine->type) continue;
    Room room = MeasureRoom(machine.get());
    // Skips machines that are full of tasks that may not be stopped.
    if (room.cpus > 0 || !room.preemptible.empty())
      rooms_.push_back(std::move(room));
  }
}

GuaranteePreemption::Room GuaranteePreemption::MeasureRoom(Machine* machine) {
  Room room{machine, machine->cpus_free(), machine->memory_free(), {}};
  for (auto& [task_id, attempt] : machine->attempts) {
    if (attempt.stop)
      room.Release(attempt);
    else if (cpus_beyond_guarantee_[attempt.record->spec.team] >=
                 attempt.cpus &&
             IsPreemptible(attempt, context_->now))
      room.preemptible.push_back(&attempt);
  }
  return room;
}

void GuaranteePreemption::CoverDemand(Demand* demand, bool may_preempt) {
  for (Room& room : rooms_) {
    if (!demand->IsOpen()) return;
    if (!deficit_->FitsWhenEmpty(*demand->job, *room.machine)) continue;
    // Avoids stopping tasks if the room would still be too small.
    if (may_preempt && !room.FitsAfterPreemption(demand->job->spec())) continue;
    CoverDemandOn(&room, demand, may_preempt);
  }
}

void GuaranteePreemption::CoverDemandOn(Room* room, Demand* demand,
                                        bool may_preempt) {
  const JobSpec& spec = demand->job->spec();
  while (demand->IsOpen()) {
    if (may_preempt) PreemptUntilFits(spec, room);
    if (!room->Fits(spec)) return;
    room->Allocate(spec);
    *demand->unused_guarantee_cpus -= spec.cpus;
    demand->tasks -= 1;
  }
}

void GuaranteePreemption::PreemptUntilFits(const JobSpec& spec, Room* room) {
  while (!room->Fits(spec) && !room->preemptible.empty()) {
    TaskAttempt* attempt = room->preemptible.back();
    room->preemptible.pop_back();
    double& beyond = cpus_beyond_guarantee_[attempt->record->spec.team];
    // Other tasks of this team may have been stopped since the room was
    // measured; its usage is not reduced below its own guarantee.
    if (beyond < attempt->cpus) continue;
    beyond -= attempt->cpus;
    StopWithCheckpoint(attempt);
    room->Release(*attempt);
  }
}

}  // namespace sorrelwood
