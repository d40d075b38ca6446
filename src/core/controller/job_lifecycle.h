// Adds jobs to the leader's job table when they are submitted, removes them
// when they end, and keeps the queue ranked.
#pragma once

#include <string>

#include "base/constants/queue_order.h"
#include "base/periodic_timer.h"
#include "core/balance/rebalancer.h"
#include "core/coordination/completion_store.h"
#include "core/coordination/job_cache.h"
#include "core/coordination/job_finisher.h"
#include "core/coordination/leader_election.h"
#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/workers/attempt_tracker.h"

namespace sorrelwood {

class JobLifecycle {
 public:
  JobLifecycle(Context* context, JobCache* job_cache,
               const LeaderElection* election, const ClusterSettings* settings,
               JobTable* jobs, MachineTable* machines, AttemptTracker* attempts,
               CompletionStore* completions, JobFinisher* job_finisher,
               Rebalancer* rebalancer)
      : context_(context),
        job_cache_(job_cache),
        election_(election),
        settings_(settings),
        jobs_(jobs),
        machines_(machines),
        attempts_(attempts),
        completions_(completions),
        job_finisher_(job_finisher),
        rebalancer_(rebalancer) {}

  // Called when the job cache contains a live job. Does nothing if the job
  // table contains it already.
  void OnJobAdded(const std::string& id);
  // Called when the job is done or cancelled. Requests its attempts to stop;
  // they count against their team's limit until they are known to have ended.
  void OnJobEnded(const std::string& id);
  // Ranks the queue, at most every kRankingIntervalS unless a new job triggers
  // it.
  void RankQueueIfDue();

 private:
  void StopAttempts(const Job& job);

  Context* context_;
  JobCache* job_cache_;
  const LeaderElection* election_;
  const ClusterSettings* settings_;
  JobTable* jobs_;
  MachineTable* machines_;
  AttemptTracker* attempts_;
  CompletionStore* completions_;
  JobFinisher* job_finisher_;
  Rebalancer* rebalancer_;
  PeriodicTimer rank_timer_{kRankingIntervalS};
};

}  // namespace sorrelwood
