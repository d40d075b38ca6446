#include "core/controller/job_lifecycle.h"

#include <cstdint>
#include <map>

namespace sorrelwood {

void JobLifecycle::OnJobLive(const std::string& id) {
  const CachedJob* cached = job_cache_->FindLive(id);
  if (!cached || jobs_->Find(id)) return;
  const bool from_earlier_term =
      cached->version < election_->leader_precondition().version;
  Job* job = jobs_->Add(cached->job, cached->version, from_earlier_term,
                        context_->now);
  if (context_->debug)
    context_->Debug("new job", {{"job", id},
                                {"class", job->spec().job_class},
                                {"tasks", job->spec().tasks},
                                {"image", job->spec().image},
                                {"team", job->spec().team}});
  // With the next tick, not now: a failover brings hundreds of jobs at once.
  rank_timer_.MakeDue();
  completions_->Restore(job);
  if (job->progress.done.size() == job->spec().tasks)
    job_finisher_->Enqueue(id);
}

void JobLifecycle::OnJobEnded(const std::string& id) {
  const Job* job = jobs_->Find(id);
  if (!job) return;
  StopAttempts(*job);
  rebalancer_->OnJobEnded(id);
  completions_->Remove(id);
  jobs_->Remove(id);
}

void JobLifecycle::StopAttempts(const Job& job) {
  // A copy, since the removal of an attempt changes the original.
  const std::map<uint32_t, std::string> machine_of_task =
      job.progress.machine_of_task;
  for (const auto& [task, name] : machine_of_task) {
    Machine* machine = machines_->Find(name);
    if (!machine) continue;
    const auto it = machine->attempts.find({job.id(), task});
    if (it == machine->attempts.end()) continue;
    TaskAttempt& attempt = it->second;
    attempt.job_active = false;
    attempt.stop = true;
    attempt.stop_grace_s = 0;
    if (attempt.phase == AttemptPhase::kPlanned) attempts_->Remove(machine, it);
  }
}

void JobLifecycle::RankQueue() {
  if (rank_timer_.RestartIfDue(context_->now)) jobs_->Rank(*settings_, context_->wall);
}

}  // namespace sorrelwood
