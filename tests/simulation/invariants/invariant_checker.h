// The invariants that are checked periodically: after each step, every second,
// or at the end of a run. invariants.h declares those that are checked on
// events.
#pragma once

namespace sorrelwood::test {

class SimulatedCluster;

// answered_jobs.cc: after the last fault has ended, requests about each
// accepted job are answered.
void CheckAcceptedJobsAreAnswered(SimulatedCluster& cluster);

// running_tasks.cc: no team uses more CPUs than its limit, and no task of a
// cancelled job runs after the cancellation deadline.
void CheckRunningTasks(SimulatedCluster& cluster);

// no_idle_capacity.cc: after the last fault has ended, no job that fits into
// free capacity and its team's limit waits for long.
void CheckNoJobWaitsBesideFreeCapacity(SimulatedCluster& cluster);

// replica_recovery.cc: after the last fault has ended, no service that fits
// into its team's limit lacks a replica for long.
void CheckReplicasAreReplaced(SimulatedCluster& cluster);

// no_starvation.cc: at the end of a run at least half of the jobs of each class
// and of each team have started, and at least half of the largest jobs of each
// class started within minutes.
void CheckNoGroupIsStarved(SimulatedCluster& cluster);

class InvariantChecker {
 public:
  explicit InvariantChecker(SimulatedCluster& cluster) : cluster_(cluster) {}

  void SchedulePeriodicChecks();
  void CheckAfterStep();
  void CheckAtEnd();

 private:
  void RunAndReschedule(void (*check)(SimulatedCluster&));

  SimulatedCluster& cluster_;
};

}  // namespace sorrelwood::test
