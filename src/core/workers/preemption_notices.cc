#include "core/workers/preemption_notices.h"

#include <algorithm>

#include "base/constants.h"

namespace sorrelwood {

void PreemptionNotices::OnNotice(Machine* machine, double notice_s) {
  if (machine->lifecycle.preemption_deadline != 0) return;
  machine->lifecycle.preemption_deadline =
      context_->now + std::max(0.0, notice_s);
  const double left_s = machine->lifecycle.preemption_deadline - context_->now;
  for (auto& [id, attempt] : machine->attempts) {
    const Job* job = jobs_->Find(id.job);
    if (!job || job->spec().IsService()) continue;
    if (LikelyEndsWithin(*job, attempt, left_s)) continue;
    const JobSpec& spec = job->spec();
    const bool can_save =
        spec.checkpoint_interval_s > 0 && spec.save_s < left_s;
    attempt.stop = true;
    attempt.stop_grace_s = can_save ? spec.save_s : 0;
  }
}

bool PreemptionNotices::LikelyEndsWithin(const Job& job,
                                         const TaskAttempt& attempt,
                                         double left_s) const {
  if (attempt.running_since <= 0) return false;
  const double ran_s = context_->now - attempt.running_since;
  return jobs_->Estimate(job.spec()) - ran_s <
         left_s * kEndsBeforePreemptionShare;
}

}  // namespace sorrelwood
