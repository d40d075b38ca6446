// Reacts to the cloud's notice that it will reclaim a preemptible machine.
#pragma once

#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"

namespace sorrelwood {

class PreemptionNotices {
 public:
  PreemptionNotices(Context* context, JobTable* jobs)
      : context_(context), jobs_(jobs) {}

  // The cloud reclaims the machine in `notice_s` seconds. Only the first notice
  // counts. Tasks that are likely to end in time run on; the others are told to
  // stop, with time for a checkpoint where there is enough. Replicas are left
  // to ReplicaManager, which moves them once there is a place elsewhere.
  void OnNotice(Machine* machine, double notice_s);

 private:
  bool LikelyEndsWithin(const Job& job, const TaskAttempt& attempt,
                        double left_s) const;

  Context* context_;
  JobTable* jobs_;
};

}  // namespace sorrelwood
