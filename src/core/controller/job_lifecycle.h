// Takes jobs into the leader's job table when they are submitted and removes
// them when they end, and keeps the queue ranked.
#pragma once

#include <string>

#include "base/constants.h"
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

  // The job is in the job cache as live. Does nothing if it is known already.
  void OnJobLive(const std::string& id);
  // The job is done or cancelled. Its attempts are told to stop, and use up
  // their team's limit until they are proved to have ended.
  void OnJobEnded(const std::string& id);
  // Ranks the queue if that is due.
  void RankQueue();

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
