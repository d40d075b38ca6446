// Cuts a zone with the leader off from the other controllers, with real
// processes on loopback.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "loopback/loopback_cluster.h"

namespace sorrelwood::test {
namespace {

constexpr double kHeartbeatIntervalS = 0.5;
constexpr double kWorkerLeaseS = 14;
constexpr double kCancelDeadlineS = 22;
// How long a leader without state service answers heartbeats:
// kCancelDeadlineS less the worker lease and the margins of the controllers.
constexpr double kRenewalWindowS = 6;
// A worker that the new leader answers this long after its election still has
// its lease from the old leader, and keeps the renewed one for longer than the
// old leader's answers can reach.
constexpr double kAnswerAfterElectionS = kRenewalWindowS + 3;
// Allowance for the loops of workers and controllers, and a loaded machine.
constexpr double kSlackS = 6;
constexpr int kMachinesPerZone = 4;
constexpr double kRunS = 300;

const ControllerOptions kControllers = {
    .operator_settings = "fleet { hold_s: 120 drain_s: 5 base_share: 0 }",
    .heartbeat_interval_s = kHeartbeatIntervalS,
    .worker_lease_s = kWorkerLeaseS,
    .cancel_deadline_s = kCancelDeadlineS};

class ZoneCutTest : public ::testing::Test {
 protected:
  // Starts four tasks of each of three jobs, one of each on a machine: the
  // first in zone a, the second in zone b, the third in zone a where it fits
  // best, but allowed in both.
  void StartTasks() {
    StartJob({"job-100001", "hot", kMachinesPerZone, kRunS, 2.5, "a"});
    StartJob({"job-100002", "hot", kMachinesPerZone, kRunS, 2.2, "b"});
    StartJob({kMovableJob, "hot", kMachinesPerZone, kRunS, 1.5, ""});
    ASSERT_EQ(cluster_.cloud().machine_count(), 2u * kMachinesPerZone);
  }

  void StartJob(const JobRequest& job) {
    ASSERT_TRUE(cluster_.clients().Submit(job));
    ASSERT_TRUE(WaitFor(30, [&] {
      return cluster_.history().CountStartsOf(job.id) ==
             static_cast<size_t>(job.tasks);
    })) << job.id;
  }

  // Returns the task of the movable job that was first started on the machine;
  // empty: none.
  std::string FindMovableTask(const std::string& machine) const {
    for (const ExecutionEvent& event : cluster_.history().events())
      if (event.starts && event.machine == machine &&
          event.task.rfind(kMovableJob, 0) == 0)
        return event.task;
    return "";
  }

  size_t CountStartsOfTask(const std::string& task) const {
    const std::vector<ExecutionEvent> events = cluster_.history().events();
    return static_cast<size_t>(std::count_if(
        events.begin(), events.end(),
        [&](const auto& event) { return event.starts && event.task == task; }));
  }

  // Cuts zone a and the leader off. Returns the index of the next leader.
  int CutZoneWithLeader(int leader) {
    const auto token = static_cast<uint64_t>(
        cluster_.controllers().ReadMetric(leader, "term"));
    cluster_.zone_cut().Begin("a", ControllerName(leader), token);
    cluster_.controllers().SetCut(leader, true);
    return cluster_.WaitForLeader(20, leader);
  }

  static std::string ControllerName(int index) {
    return "controller-" + std::to_string(index);
  }

  static constexpr char kMovableJob[] = "job-100003";
  LoopbackCluster cluster_{kControllers, 2 * kMachinesPerZone};
};

// Guards against a task on two machines: the cut ends for one heartbeat, the
// new leader's answer renews the worker's lease, and the worker falls silent
// again (review/1).
TEST_F(ZoneCutTest, AWorkerAnsweredInAGapOfTheCutKeepsItsTasks) {
  const int leader = cluster_.WaitForLeader(20);
  ASSERT_GE(leader, 0);
  ASSERT_NO_FATAL_FAILURE(StartTasks());
  const int next_leader = CutZoneWithLeader(leader);
  ASSERT_GE(next_leader, 0);
  Sleep(kAnswerAfterElectionS);
  cluster_.zone_cut().PassOneHeartbeat(ControllerName(next_leader));
  ASSERT_TRUE(
      WaitFor(5, [&] { return !cluster_.zone_cut().PassedWorker().empty(); }));
  const double answered_s = Now();
  const std::string task = FindMovableTask(cluster_.zone_cut().PassedWorker());
  ASSERT_NE(task, "");
  EXPECT_TRUE(WaitFor(kWorkerLeaseS + kSlackS,
                      [&] { return CountStartsOfTask(task) == 2; }));
  EXPECT_GT(Now() - answered_s, kWorkerLeaseS);
  EXPECT_EQ(cluster_.history().FindConcurrentExecutions(),
            std::vector<std::string>());
}

}  // namespace
}  // namespace sorrelwood::test
