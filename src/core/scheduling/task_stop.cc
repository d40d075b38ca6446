#include "core/scheduling/task_stop.h"

#include "base/constants/autoscaling.h"
#include "base/constants/placement.h"

namespace sorrelwood {

bool IsPreemptible(const TaskAttempt& attempt, double now) {
  const JobSpec& spec = attempt.record->spec;
  return attempt.job_active && !attempt.stop && attempt.running_since > 0 &&
         now - attempt.running_since > kMinRunBeforeMoveS &&
         spec.checkpoint_interval_s > 0 && spec.save_s <= kMaxCheckpointSaveS;
}

void StopWithCheckpoint(TaskAttempt* attempt) {
  const JobSpec& spec = attempt->record->spec;
  attempt->stop = true;
  attempt->stop_grace_s =
      spec.checkpoint_interval_s > 0 ? spec.save_s + kSaveGraceMarginS : 0;
}

}  // namespace sorrelwood
