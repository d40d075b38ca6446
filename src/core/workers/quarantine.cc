#include "core/workers/quarantine.h"

#include "base/constants.h"

namespace sorrelwood {

bool Quarantine::Evidence::MachineAtFault() const {
  return errors_of_succeeding_jobs >= kQuarantineFailedAttempts;
}

bool Quarantine::Evidence::Suffices() const {
  return MachineAtFault() || jobs_not_succeeded_yet >= kQuarantineFailingJobs;
}

Quarantine::Evidence Quarantine::CollectEvidence(const Machine& machine) const {
  Evidence evidence;
  for (const auto& [id, errors] : machine.health.failed_attempts) {
    const Job* job = jobs_->Find(id);
    // The job has ended, so who was at fault is unknown, or it was the job.
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
  const bool quarantined = evidence.Suffices();
  if (evidence.MachineAtFault()) health.suspect_until = 0;
  if (quarantined == health.quarantined) return;
  health.quarantined = quarantined;
  if (quarantined)
    context_->Info("machine quarantined: its tasks fail",
                   {{"machine", machine->name}});
  else
    context_->Info("machine back from quarantine: the jobs were at fault",
                   {{"machine", machine->name}});
  if (quarantined && !evidence.MachineAtFault())
    health.suspect_until = context_->now + kSuspectMachineAvoidS;
  if (evidence.MachineAtFault()) StopAllAttempts(machine);
}

void Quarantine::StopAllAttempts(Machine* machine) const {
  for (auto& [id, attempt] : machine->attempts) {
    const Job* job = jobs_->Find(id.job);
    attempt.stop = true;
    attempt.stop_grace_s = job ? job->spec().save_s : 0;
  }
}

}  // namespace sorrelwood
