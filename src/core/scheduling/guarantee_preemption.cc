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

void GuaranteePreemption::Room::Take(const JobSpec& spec) {
  cpus -= spec.cpus;
  memory_gb -= spec.memory_gb;
}

void GuaranteePreemption::Room::GiveBack(const TaskAttempt& attempt) {
  cpus += attempt.cpus;
  memory_gb += attempt.memory_gb;
}

bool GuaranteePreemption::Demand::IsOpen() const {
  // A task without cores would never use up the deficit.
  const double cpus = std::max(job->spec().cpus, kResourceRounding);
  return tasks >= 1 && *deficit_cpus >= cpus;
}

void GuaranteePreemption::MakeRoom(const std::vector<const Job*>& in_deficit) {
  if (in_deficit.empty()) return;
  MeasureTeams();
  MeasureRooms();
  for (const Job* job : in_deficit) {
    Demand demand{job, static_cast<double>(job->progress.pending.size()),
                  &deficit_cpus_[job->spec().team]};
    // Room that is free, or coming free, is used before any is made.
    for (const bool may_preempt : {false, true}) Cover(&demand, may_preempt);
  }
  rooms_.clear();  // their pointers are valid for this run only
}

void GuaranteePreemption::MeasureTeams() {
  beyond_cpus_.clear();
  deficit_cpus_.clear();
  for (const Team& team : settings_->teams) {
    const double usage = jobs_->UsageOf(team.name).cpus;
    beyond_cpus_[team.name] = usage - team.cpus;
    deficit_cpus_[team.name] = team.cpus - usage;
  }
}

void GuaranteePreemption::MeasureRooms() {
  rooms_.clear();
  context_->items_examined += machines_->all().size();
  for (auto& [name, machine] : machines_->all()) {
    if (!eligibility_->AcceptsTasks(*machine) || !machine->type) continue;
    Room room = MeasureRoom(machine.get());
    // A machine that is full of tasks that may not be stopped has no room.
    if (room.cpus > 0 || !room.preemptible.empty())
      rooms_.push_back(std::move(room));
  }
}

GuaranteePreemption::Room GuaranteePreemption::MeasureRoom(Machine* machine) {
  Room room{machine, machine->cpus_free(), machine->memory_free(), {}};
  for (auto& [key, attempt] : machine->attempts) {
    if (attempt.stop)
      room.GiveBack(attempt);
    else if (beyond_cpus_[attempt.record->spec.team] >= attempt.cpus &&
             IsPreemptible(attempt, context_->now))
      room.preemptible.push_back(&attempt);
  }
  return room;
}

void GuaranteePreemption::Cover(Demand* demand, bool may_preempt) {
  for (Room& room : rooms_) {
    if (!demand->IsOpen()) return;
    if (!deficit_->FitsWhenEmpty(*demand->job, *room.machine)) continue;
    // Prevents stopping tasks where the room would not suffice even so.
    if (may_preempt && !room.FitsAfterPreemption(demand->job->spec())) continue;
    CoverOn(&room, demand, may_preempt);
  }
}

void GuaranteePreemption::CoverOn(Room* room, Demand* demand,
                                  bool may_preempt) {
  const JobSpec& spec = demand->job->spec();
  while (demand->IsOpen()) {
    if (may_preempt) PreemptUntilFits(spec, room);
    if (!room->Fits(spec)) return;
    room->Take(spec);
    *demand->deficit_cpus -= spec.cpus;
    demand->tasks -= 1;
  }
}

void GuaranteePreemption::PreemptUntilFits(const JobSpec& spec, Room* room) {
  while (!room->Fits(spec) && !room->preemptible.empty()) {
    TaskAttempt* attempt = room->preemptible.back();
    room->preemptible.pop_back();
    double& beyond = beyond_cpus_[attempt->record->spec.team];
    // Tasks of the team were stopped elsewhere meanwhile: it is not taken below
    // its own guarantee.
    if (beyond < attempt->cpus) continue;
    beyond -= attempt->cpus;
    StopWithCheckpoint(attempt);
    room->GiveBack(*attempt);
  }
}

}  // namespace sorrelwood
