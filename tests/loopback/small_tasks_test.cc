// Arrays of thousands of tasks, each a small part of a core, with real
// processes on loopback. The fake workers read no line and send no report of
// more than 64 KiB, the bounds of the protocol.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "base/constants/user_requests.h"
#include "loopback/loopback_cluster.h"

namespace sorrelwood::test {
namespace {

constexpr int kMachines = 4;
// Longer than the worker lease, so that a worker that cannot report loses its
// tasks.
constexpr double kRunS = 8;
constexpr double kSmallCpus = 0.002;
constexpr double kSmallMemoryGb = 0.001;
constexpr double kTimeoutS = 120;

const ControllerOptions kControllers = {
    .operator_settings = "fleet { hold_s: 20 drain_s: 5 base_share: 0 }"};

class SmallTasksTest : public ::testing::Test {
 protected:
  void Submit(const std::string& id, int tasks, double cpus) {
    ASSERT_TRUE(cluster_.clients().Submit(
        {id, "hot", tasks, kRunS, cpus, "", kSmallMemoryGb}));
  }

  // Waits until `starts` tasks have started in all.
  bool WaitForStarts(size_t starts) const {
    return WaitFor(kTimeoutS,
                   [&] { return cluster_.history().CountStarts() >= starts; });
  }

  // Waits until no task of the job is on any machine.
  bool WaitUntilGone(const std::string& job, double timeout_s) const {
    return WaitFor(timeout_s,
                   [&] { return cluster_.history().CountPresent(job) == 0; });
  }

  // The job's status from the first controller that answers.
  std::string AnsweredStatus(const std::string& job) {
    for (size_t i = 0; i < cluster_.controllers().size(); ++i)
      if (std::string status = cluster_.clients().Status(job); !status.empty())
        return status;
    return "";
  }

  void ExpectBoundedMessages() const {
    EXPECT_EQ(cluster_.history().oversized_messages(),
              std::vector<std::string>());
    EXPECT_EQ(cluster_.history().FindConcurrentExecutions(),
              std::vector<std::string>());
  }

  LoopbackCluster cluster_{kControllers, kMachines};
};

// Guards against an accepted array that never starts: the start commands for
// one machine went into a line of over 64 KiB (review/3). A second array is
// cancelled and the leader is killed while both run.
TEST_F(SmallTasksTest, AnArrayOfThousandsOfTasksIsDoneThroughAFailover) {
  const int leader = cluster_.WaitForLeader(20);
  ASSERT_GE(leader, 0);
  ASSERT_NO_FATAL_FAILURE(Submit("job-200001", 3000, kSmallCpus));
  ASSERT_NO_FATAL_FAILURE(Submit("job-200002", 2000, kSmallCpus));
  ASSERT_TRUE(WaitForStarts(1000));
  ASSERT_TRUE(cluster_.clients().Cancel("job-200002"));
  cluster_.controllers().Kill(leader);
  ASSERT_GE(cluster_.WaitForLeader(20, leader), 0);
  EXPECT_TRUE(WaitUntilGone("job-200002", kControllers.cancel_deadline_s));
  EXPECT_TRUE(cluster_.WaitUntilAllDone({"job-200001"}, kTimeoutS));
  EXPECT_EQ(AnsweredStatus("job-200002"), "cancelled");
  ExpectBoundedMessages();
}

// Guards against a job with the longest id that is accepted: its tasks' names
// and the keys of its records must be read back. Other jobs run beside it.
TEST_F(SmallTasksTest, JobsWithTheLongestIdsAreDone) {
  ASSERT_GE(cluster_.WaitForLeader(20), 0);
  const std::string longest_id = "job-" + std::string(kMaxIdBytes - 4, 'x');
  ASSERT_NO_FATAL_FAILURE(Submit("job-200003", 2, 1));
  ASSERT_NO_FATAL_FAILURE(Submit(longest_id, 1000, kSmallCpus));
  ASSERT_NO_FATAL_FAILURE(Submit("job-200004", 2, 1));
  EXPECT_TRUE(cluster_.WaitUntilAllDone(
      {"job-200003", longest_id, "job-200004"}, kTimeoutS));
  ExpectBoundedMessages();
}

}  // namespace
}  // namespace sorrelwood::test
