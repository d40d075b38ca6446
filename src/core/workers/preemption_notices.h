// Handles the cloud's notices that it will reclaim a preemptible machine.
#pragma once

#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"

namespace sorrelwood {

class PreemptionNotices {
 public:
  PreemptionNotices(Context* context, JobTable* jobs)
      : context_(context), jobs_(jobs) {}

  // The cloud reclaims the machine in `notice_s` seconds. Later notices for the
  // same machine are ignored. Tasks that are likely to end in time keep
  // running. The others are stopped, with a grace period for a checkpoint if
  // the time suffices. ReplicaManager moves the replicas once there is capacity
  // for them elsewhere.
  void OnNotice(Machine* machine, double notice_s);

 private:
  bool LikelyEndsWithin(const Job& job, const TaskAttempt& attempt,
                        double remaining_s) const;

  Context* context_;
  JobTable* jobs_;
};

}  // namespace sorrelwood
