// Selects the commands that are sent to a worker in response to its heartbeat.
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
#include "core/workers/command_batch.h"

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

  // Commands for a worker that has acknowledged this term's token: stop
  // commands, then forget commands, then start commands for the planned
  // attempts, which are marked as dispatched. What does not fit into the
  // response (see CommandBatch) is left for the next one: attempts without a
  // start command stay planned. If no task may be started, the planned attempts
  // are withdrawn.
  std::vector<Command> Select(Machine* machine, const Heartbeat& heartbeat);

  // Stop commands, as many as fit into a response, for the attempts of jobs
  // that have ended, whatever token the heartbeat carries. Each response renews
  // the worker's lease, so without these commands it would keep the tasks of a
  // cancelled job alive. Select() does not run while the leader has not read
  // its records yet, possibly for a whole outage, or if leaders change so fast
  // that no heartbeat carries the token of the leader that receives it.
  std::vector<Command> SelectStopsForEndedJobs(
      const Heartbeat& heartbeat) const;

 private:
  void AddStopCommands(const Machine& machine, const Heartbeat& heartbeat,
                       CommandBatch* batch);
  void AddForgetCommands(const Heartbeat& heartbeat, CommandBatch* batch);
  // The stop command for a reported attempt that has not exited, if it needs
  // one.
  static std::optional<Command> SelectForRunning(const Machine& machine,
                                                 const TaskStatus& task);
  // The forget command for a reported attempt that has exited, unless the
  // worker must keep it.
  std::optional<Command> SelectForExited(const TaskStatus& task);
  void AddStartCommands(Machine* machine, const Heartbeat& heartbeat,
                        CommandBatch* batch);

  Context* context_;
  LeaderElection* election_;
  JobTable* jobs_;
  JobCache* job_cache_;
  Placement* placement_;
  AttemptTracker* attempts_;
};

}  // namespace sorrelwood
