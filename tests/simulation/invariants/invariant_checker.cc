#include "simulation/invariants/invariant_checker.h"

#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

constexpr double kPeriodicCheckIntervalS = 1;

}  // namespace

void InvariantChecker::SchedulePeriodicChecks() {
  const auto schedule = [this](void (*check)(SimulatedCluster&)) {
    cluster_.events().At(kPeriodicCheckIntervalS,
                         [this, check] { RunAndReschedule(check); });
  };
  schedule(&CheckNoJobWaitsBesideFreeCapacity);
  if (cluster_.options().services > 0) schedule(&CheckReplicasAreReplaced);
}

void InvariantChecker::RunAndReschedule(void (*check)(SimulatedCluster&)) {
  cluster_.events().After(kPeriodicCheckIntervalS,
                          [this, check] { RunAndReschedule(check); });
  check(cluster_);
}

void InvariantChecker::CheckAfterStep() {
  CheckAcceptedJobsAreAnswered(cluster_);
  CheckRunningTasks(cluster_);
}

void InvariantChecker::CheckAtEnd() { CheckNoGroupIsStarved(cluster_); }

}  // namespace sorrelwood::test
