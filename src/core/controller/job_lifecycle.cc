#include "core/controller/job_lifecycle.h"

#include <cstdint>
#include <map>

namespace sorrelwood {

void JobLifecycle::OnJobAdded(const std::string& id) {
  const CachedJob* cached = job_cache_->FindLiveJob(id);
  if (!cached || jobs_->Find(id)) return;
  // Committed before this leader's key.
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
  // The queue is ranked at the next tick, not now: a failover adds hundreds of
  // jobs at once.
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
  // Copied, since removing an attempt changes the original map.
  const std::map<uint32_t, std::string> machine_of_task =
      job.progress.machine_of_task;
  for (const auto& [task, machine_name] : machine_of_task) {
    Machine* machine = machines_->Find(machine_name);
    if (!machine) continue;
    const auto found = machine->attempts.find({job.id(), task});
    if (found == machine->attempts.end()) continue;
    TaskAttempt& attempt = found->second;
    attempt.job_active = false;
    attempt.stop = true;
    attempt.stop_grace_s = 0;
    if (attempt.phase == AttemptPhase::kPlanned)
      attempts_->Remove(machine, found);
  }
}

void JobLifecycle::RankQueueIfDue() {
  if (rank_timer_.RestartIfDue(context_->now))
    jobs_->Rank(*settings_, context_->wall_time);
}

}  // namespace sorrelwood
