// Tests a single leader with scripted surroundings: whether failed tasks are
// the fault of their machine or of their job.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/coordination/keys.h"
#include "scripted_leader.h"

namespace sorrelwood {
namespace {

using Leader = test::ScriptedLeader;
using test::HealthyMachine;

// Runs four machines, and counts failed tasks per job.
class FailuresTest : public ::testing::Test {
 protected:
  FailuresTest() : leader_(2, 1000) {
    leader_.Run(2);
    for (int i = 0; i < 4; ++i)
      machines_.emplace_back("n-" + std::to_string(i));
    RunRound();
    RunRound();
  }
  // Every machine sends a heartbeat. Tasks for which `fails` returns true have
  // ended with an error, the others are done.
  template <typename Fails>
  void RunRound(Fails fails) {
    for (HealthyMachine& machine : machines_) {
      if (leader_.Released(machine.name)) continue;
      for (TaskStatus& task : machine.tasks) {
        if (task.state == TaskState::kExited) continue;
        task.state = TaskState::kExited;
        const bool failed = fails(machine.name, task.job);
        task.reason = failed ? ExitReason::kError : ExitReason::kDone;
        if (failed) ++failures_[task.job];
      }
      machine.SendHeartbeat(&leader_);
      std::erase_if(machine.tasks, [](const TaskStatus& task) {
        return task.state == TaskState::kExited;
      });
    }
    leader_.Run(2);
  }
  void RunRound() {
    RunRound([](const std::string&, const std::string&) { return false; });
  }
  int CountReleased() const {
    return static_cast<int>(
        std::count_if(machines_.begin(), machines_.end(),
                      [&](const auto& m) { return leader_.Released(m.name); }));
  }

  Leader leader_;
  std::vector<HealthyMachine> machines_;
  std::map<std::string, int> failures_;
};

// An array and single tasks that fail everywhere must not have machines
// released, are retried at a falling rate, and do not block other jobs.
TEST_F(FailuresTest, JobsThatFailEverywhereHaveNoMachineReleased) {
  leader_.AddJob("job-000001", 60);
  for (int i = 2; i < 6; ++i)
    leader_.AddJob("job-00000" + std::to_string(i), 1);
  const auto broken = [](const std::string&, const std::string& job) {
    return job < "job-000009";
  };
  for (int i = 0; i < 4; ++i) RunRound(broken);
  leader_.AddJob("job-100000", 200);
  std::map<std::string, int> before;
  for (int i = 0; i < 60; ++i) {
    if (i == 30) before = failures_;
    RunRound(broken);
  }
  EXPECT_EQ(CountReleased(), 0);
  EXPECT_TRUE(leader_.HasKey(keys::ForFinalState("job-100000")));
  for (int i = 1; i < 6; ++i) {
    const std::string id = "job-00000" + std::to_string(i);
    EXPECT_GT(failures_[id], before[id]) << id;      // retried
    EXPECT_LE(failures_[id], before[id] + 5) << id;  // but rarely
  }
  EXPECT_LE(failures_["job-000001"], 60 + 20);
}

// Jobs that succeed elsewhere reveal a faulty machine while another job fails
// everywhere; healthy machines are not released.
TEST_F(FailuresTest, FindsAFaultyMachineDespiteABrokenJob) {
  leader_.AddJob("job-000001", 60);
  leader_.AddJob("job-100000", 400);
  for (int i = 0; i < 12; ++i)
    RunRound([](const std::string& machine, const std::string& job) {
      return machine == "n-2" || job == "job-000001";
    });
  EXPECT_TRUE(leader_.Released("n-2"));
  EXPECT_EQ(CountReleased(), 1);
}

// A retry on another machine shows whether the task or the machine is at fault.
TEST_F(FailuresTest, AFailedTaskIsRetriedOnAnotherMachine) {
  leader_.AddJob("job-000001", 1);
  std::vector<std::string> tried;
  for (int i = 0; i < 12 && tried.size() < 3; ++i)
    RunRound([&](const std::string& machine, const std::string&) {
      tried.push_back(machine);
      return true;
    });
  ASSERT_EQ(tried.size(), 3u);
  EXPECT_EQ(std::set<std::string>(tried.begin(), tried.end()).size(), 3u);
}

// A task that fails everywhere while the rest of its job succeeds is itself at
// fault.
TEST_F(FailuresTest, OneFailingTaskHasNoMachineReleased) {
  leader_.AddJob("job-100000", 1);
  RunRound();  // class and job are known before the failing job arrives
  leader_.AddJob("job-200000", 40);
  int failure_count = 0;
  for (int i = 0; i < 30; ++i) {
    for (HealthyMachine& machine : machines_)
      for (TaskStatus& task : machine.tasks)
        if (task.job == "job-200000" && task.task == 7) {
          task.state = TaskState::kExited;
          task.reason = ExitReason::kError;
          ++failure_count;
        }
    RunRound();
  }
  EXPECT_GT(failure_count, 5);
  EXPECT_EQ(CountReleased(), 0);
}

}  // namespace
}  // namespace sorrelwood
