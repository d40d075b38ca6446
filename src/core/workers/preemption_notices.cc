#include "core/workers/preemption_notices.h"

#include <algorithm>

#include "base/constants/workers.h"

namespace sorrelwood {

void PreemptionNotices::OnNotice(Machine* machine, double notice_s) {
  // 0 means that no notice has arrived.
  if (machine->lifecycle.preemption_deadline != 0) return;
  machine->lifecycle.preemption_deadline =
      context_->now + std::max(0.0, notice_s);
  const double remaining_s =
      machine->lifecycle.preemption_deadline - context_->now;
  for (auto& [id, attempt] : machine->attempts) {
    const Job* job = jobs_->Find(id.job);
    if (!job || job->spec().IsService()) continue;
    if (LikelyEndsWithin(*job, attempt, remaining_s)) continue;
    const JobSpec& spec = job->spec();
    const bool can_save =
        spec.checkpoint_interval_s > 0 && spec.save_s < remaining_s;
    attempt.stop = true;
    attempt.stop_grace_s = can_save ? spec.save_s : 0;
  }
}

bool PreemptionNotices::LikelyEndsWithin(const Job& job,
                                         const TaskAttempt& attempt,
                                         double remaining_s) const {
  if (attempt.running_since <= 0) return false;
  const double ran_s = context_->now - attempt.running_since;
  return jobs_->EstimateRunTime(job.spec()) - ran_s <
         remaining_s * kEndsBeforePreemptionShare;
}

}  // namespace sorrelwood
