#include "core/scheduling/guarantee_preemption.h"

#include <algorithm>
#include <utility>

#include "base/constants/placement.h"
#include "core/scheduling/task_stop.h"

namespace sorrelwood {

bool GuaranteePreemption::Room::FitsAfterPreemption(
    const TaskResources& task) const {
  TaskResources free_after = free;
  for (const TaskAttempt* attempt : preemptible)
    free_after += attempt->resources;
  return task.FitInto(free_after);
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
    if (room.free.cpus > 0 || !room.preemptible.empty())
      rooms_.push_back(std::move(room));
  }
}

GuaranteePreemption::Room GuaranteePreemption::MeasureRoom(Machine* machine) {
  Room room{machine, machine->Free(), {}};
  for (auto& [task_id, attempt] : machine->attempts) {
    if (attempt.stop)
      room.free += attempt.resources;
    else if (cpus_beyond_guarantee_[attempt.record->spec.team] >=
                 attempt.resources.cpus &&
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
    if (may_preempt &&
        !room.FitsAfterPreemption(ResourcesPerTask(demand->job->spec())))
      continue;
    CoverDemandOn(&room, demand, may_preempt);
  }
}

void GuaranteePreemption::CoverDemandOn(Room* room, Demand* demand,
                                        bool may_preempt) {
  const TaskResources task = ResourcesPerTask(demand->job->spec());
  while (demand->IsOpen()) {
    if (may_preempt) PreemptUntilFits(task, room);
    if (!task.FitInto(room->free)) return;
    room->free -= task;
    *demand->unused_guarantee_cpus -= task.cpus;
    demand->tasks -= 1;
  }
}

void GuaranteePreemption::PreemptUntilFits(const TaskResources& task,
                                           Room* room) {
  while (!task.FitInto(room->free) && !room->preemptible.empty()) {
    TaskAttempt* attempt = room->preemptible.back();
    room->preemptible.pop_back();
    double& beyond = cpus_beyond_guarantee_[attempt->record->spec.team];
    // Other tasks of this team may have been stopped since the room was
    // measured; its usage is not reduced below its own guarantee.
    if (beyond < attempt->resources.cpus) continue;
    beyond -= attempt->resources.cpus;
    StopWithCheckpoint(attempt);
    room->free += attempt->resources;
  }
}

}  // namespace sorrelwood
