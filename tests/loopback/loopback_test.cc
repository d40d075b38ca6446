// Load spread in a fleet of real processes on loopback.
// SORRELWOOD_LOOPBACK_MACHINES sets the fleet's size: 24 by default and in CI,
// 300 for a large fleet.
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <set>
#include <string>
#include <vector>

#include "loopback/loopback_cluster.h"

namespace sorrelwood::test {
namespace {

// Imbalance at which the rebalancer stops moving tasks by default.
constexpr double kBalancedImbalance = 0.08;

constexpr char kOperatorSettings[] =
    "fleet { hold_s: 20 drain_s: 5 } load_spread { placement: true moves: true "
    "lasting_s: 2 begin_imbalance: 0.09 }";

int MachineCount() {
  const char* count = std::getenv("SORRELWOOD_LOOPBACK_MACHINES");
  return count ? std::atoi(count) : 24;
}

// In a large fleet tasks run for longer, so that there is time to move them.
double RunTimeFactor() { return MachineCount() >= 100 ? 4 : 1; }

class LoopbackTest : public ::testing::Test {
 protected:
  // Returns whether, within the timeout, the leader's metric shows a balanced
  // fleet ten times in a row, one second apart.
  bool WaitUntilBalanced(double timeout_s) {
    constexpr int kConsecutiveSamples = 10;
    int consecutive = 0;
    double worst = 0;
    for (const double deadline_s = Now() + timeout_s; Now() < deadline_s;
         Sleep(1)) {
      const int leader = cluster_.controllers().FindLeader();
      if (leader < 0) continue;
      const double imbalance =
          cluster_.controllers().ReadMetric(leader, "spread_imbalance");
      worst = std::max(worst, imbalance);
      consecutive = imbalance >= 0 && imbalance <= kBalancedImbalance
                        ? consecutive + 1
                        : 0;
      if (consecutive >= kConsecutiveSamples) {
        std::printf("worst imbalance before balance: %.3f\n", worst);
        return true;
      }
    }
    return false;
  }

  LoopbackCluster cluster_{{.operator_settings = kOperatorSettings},
                           MachineCount()};
};

// Guards against a task that runs on two machines, a lost job and a fleet that
// stays unbalanced: the leader is killed during one team's burst, and the next
// leader is paused for longer than its lease.
TEST_F(LoopbackTest, BurstIsBalancedAndDoneThroughTwoFailovers) {
  const int leader = cluster_.WaitForLeader(20);
  ASSERT_GE(leader, 0);
  std::set<std::string> jobs;
  const auto submit = [&](const std::string& team, int tasks, double run_s) {
    const std::string id = "job-" + std::to_string(100000 + jobs.size());
    ASSERT_TRUE(
        cluster_.clients().Submit({id, team, tasks, run_s * RunTimeFactor()}));
    jobs.insert(id);
  };
  const int tasks_per_job =
      std::max(1, MachineCount() / 3);  // at a team's usual load
  submit("calm", tasks_per_job, 30);
  submit("hot", tasks_per_job, 30);
  Sleep(4);
  for (int i = 0; i < 10; ++i)
    submit("hot", tasks_per_job, 12 + i);  // ten times the load
  cluster_.controllers().Kill(leader);
  const int second = cluster_.WaitForLeader(20);
  ASSERT_GE(second, 0);
  ASSERT_NE(second, leader);
  cluster_.controllers().Start(leader);
  submit("calm", tasks_per_job, 10);
  cluster_.controllers().Pause(second);
  Sleep(8);  // longer than its lease, so that another takes over
  const int third = cluster_.WaitForLeader(20);
  cluster_.controllers().Resume(second);
  EXPECT_NE(third, second);
  EXPECT_TRUE(WaitUntilBalanced(60 * RunTimeFactor()));
  EXPECT_TRUE(cluster_.WaitUntilAllDone(jobs, 120 * RunTimeFactor()));
  EXPECT_EQ(cluster_.history().FindConcurrentExecutions(),
            std::vector<std::string>());
  EXPECT_GE(cluster_.history().CountStarts(),
            static_cast<size_t>(13 * tasks_per_job));
  const int last = cluster_.WaitForLeader(20);
  std::printf("moves finished by the last leader: %.0f\n",
              cluster_.controllers().ReadMetric(last, "moves_finished"));
  std::printf("%zu machines at the end, %zu starts\n",
              cluster_.cloud().machine_count(),
              cluster_.history().CountStarts());
}

}  // namespace
}  // namespace sorrelwood::test
