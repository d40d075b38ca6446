// The invariants that are checked as time passes: after each step, every
// second, and at the end of a run. Those that are checked when something
// happens: invariants.h.
#pragma once

namespace sorrelwood::test {

class SimulatedCluster;

// answered_jobs.cc: once all faults are over, requests about each accepted job
// are answered.
void CheckAcceptedJobsAreAnswered(SimulatedCluster& cluster);

// running_tasks.cc: no team uses more CPUs than its limit, and nothing of a
// cancelled job runs after the deadline.
void CheckRunningTasks(SimulatedCluster& cluster);

// no_idle_capacity.cc: once all faults are over, no job waits for long beside
// free capacity that fits it while its team is under its limit.
void CheckNoJobWaitsBesideFreeCapacity(SimulatedCluster& cluster);

// replica_recovery.cc: once all faults are over, no service is without a
// replica for long while its team's limit leaves it room.
void CheckReplicasAreReplaced(SimulatedCluster& cluster);

// no_starvation.cc: at the end at least half of the jobs of each class and of
// each team have started, and of the largest jobs of each class within minutes.
void CheckNoGroupIsStarved(SimulatedCluster& cluster);

class InvariantChecker {
 public:
  explicit InvariantChecker(SimulatedCluster& cluster) : cluster_(cluster) {}

  void SchedulePeriodicChecks();
  void CheckAfterStep();
  void CheckAtEnd();

 private:
  // Runs the check every second.
  void Repeat(void (*check)(SimulatedCluster&));

  SimulatedCluster& cluster_;
};

}  // namespace sorrelwood::test
