// Chooses the commands that a worker is given in response to its heartbeat.
#pragma once

#include <optional>
#include <vector>

#include "core/coordination/job_cache.h"
#include "core/coordination/leader_election.h"
#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/scheduling/placement.h"
#include "core/workers/attempt_tracker.h"

namespace sorrelwood {

class CommandSelector {
 public:
  CommandSelector(Context* context, LeaderElection* election, JobTable* jobs,
                  JobCache* job_cache, Placement* placement,
                  AttemptTracker* attempts)
      : context_(context),
        election_(election),
        jobs_(jobs),
        job_cache_(job_cache),
        placement_(placement),
        attempts_(attempts) {}

  // For a worker that has acknowledged this term's token: attempts to forget
  // and to stop, then the planned attempts to start, which count as dispatched
  // from now on. Where nothing may be started, they are withdrawn.
  std::vector<Command> Select(Machine* machine, const Heartbeat& heartbeat);

  // Stops for the attempts of jobs that have ended, whatever token the report
  // carries. Guards against responses that renew a worker's lease and so keep
  // the tasks of a cancelled job alive: of a leader that has not read its
  // records yet, perhaps for a whole outage, and of leaders that change so fast
  // that no report carries the token of the leader that receives it.
  std::vector<Command> StopsForEndedJobs(const Heartbeat& heartbeat) const;

 private:
  // The command for an attempt that the worker reports, if it needs one.
  std::optional<Command> ForReported(const Machine& machine,
                                     const TaskStatus& task);
  std::optional<Command> ForExited(const TaskStatus& task);
  void AddStarts(Machine* machine, const Heartbeat& heartbeat,
                 std::vector<Command>* commands);

  Context* context_;
  LeaderElection* election_;
  JobTable* jobs_;
  JobCache* job_cache_;
  Placement* placement_;
  AttemptTracker* attempts_;
};

}  // namespace sorrelwood
