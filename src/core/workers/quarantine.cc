#include "core/workers/quarantine.h"

#include "base/constants/workers.h"

namespace sorrelwood {

bool Quarantine::Evidence::ProvesMachineFault() const {
  return errors_of_succeeding_jobs >= kQuarantineFailedAttempts;
}

bool Quarantine::Evidence::JustifiesQuarantine() const {
  return ProvesMachineFault() ||
         jobs_not_succeeded_yet >= kQuarantineFailingJobs;
}

Quarantine::Evidence Quarantine::CollectEvidence(const Machine& machine) const {
  Evidence evidence;
  for (const auto& [id, errors] : machine.health.failed_attempts) {
    const Job* job = jobs_->Find(id);
    // Either the job has ended, so the cause is unknown, or the job is at
    // fault.
    if (!job || job->broken()) continue;
    if (job->succeeded())
      evidence.errors_of_succeeding_jobs += errors;
    else
      ++evidence.jobs_not_succeeded_yet;
  }
  return evidence;
}

void Quarantine::Reassess(Machine* machine) {
  MachineHealth& health = machine->health;
  const Evidence evidence = CollectEvidence(*machine);
  const bool should_quarantine = evidence.JustifiesQuarantine();
  // 0: the machine is known to be at fault.
  if (evidence.ProvesMachineFault()) health.suspect_until = 0;
  if (should_quarantine == health.quarantined) return;
  health.quarantined = should_quarantine;
  if (should_quarantine)
    context_->Info(
        "machine quarantined because tasks fail on it; it receives no new "
        "tasks",
        {{"machine", machine->name}});
  else
    context_->Info(
        "quarantine ended because failures no longer indicate a machine "
        "fault; the machine receives tasks again",
        {{"machine", machine->name}});
  // The jobs may be at fault: they are tried elsewhere before the machine is
  // released.
  if (should_quarantine && !evidence.ProvesMachineFault())
    health.suspect_until = context_->now + kSuspectReleaseDelayS;
  if (evidence.ProvesMachineFault()) StopAllAttempts(machine);
}

void Quarantine::StopAllAttempts(Machine* machine) const {
  for (auto& [id, attempt] : machine->attempts) {
    const Job* job = jobs_->Find(id.job);
    attempt.stop = true;
    attempt.stop_grace_s = job ? job->spec().save_s : 0;
  }
}

}  // namespace sorrelwood
